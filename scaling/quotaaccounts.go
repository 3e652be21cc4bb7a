package scaling

import (
	"time"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// maxQuotaAccounts bounds the customers with an account.
const maxQuotaAccounts = 1024

// quotaAccount is what a customer may still use of this daemon's part of its quota.
type quotaAccount struct {
	left float64
	at   time.Time
}

// quotaAccounts tells which requests are within the quotas of their customers. The quota itself is charged
// only for requests that are carried: a customer far beyond its quota, most of whose requests are refused
// for lack of capacity, would never reach it. Each daemon counts an equal part of a quota, so that the sum over
// the daemons never exceeds it.
type quotaAccounts struct {
	byCustomer *simplelru.LRU[string, *quotaAccount]
}

func newQuotaAccounts() quotaAccounts {
	// The only failure of NewLRU is a size below 1.
	byCustomer, _ := simplelru.NewLRU[string, *quotaAccount](maxQuotaAccounts, nil)
	return quotaAccounts{byCustomer: byCustomer}
}

// take charges a request, and returns false if it is beyond the quota. A request that was admitted is
// charged in any case.
func (a quotaAccounts) take(request Request, isAdmitted bool, now time.Time) bool {
	if request.Customer == "" || request.Quota.Rate <= 0 {
		return true
	}
	daemons := float64(max(request.Daemons, 1))
	most := max(request.Quota.Burst/daemons, request.Cost)
	own, found := a.byCustomer.Get(request.Customer)
	if !found {
		own = &quotaAccount{left: most, at: now}
		a.byCustomer.Add(request.Customer, own)
	}
	if passed := now.Sub(own.at); passed > 0 {
		own.left = min(own.left+passed.Seconds()*request.Quota.Rate/daemons, most)
		own.at = now
	}
	if !isAdmitted && own.left < request.Cost {
		return false
	}
	own.left = max(own.left-request.Cost, -most)
	return true
}
