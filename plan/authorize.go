package plan

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
)

// keyRef locates a customer in the list of plans.
type keyRef struct {
	hash     [sha256.Size]byte
	plan     int
	customer int
}

// Authenticate returns the customer that has the bearer key, its plan and
// the plan's allowance. It returns an *UnknownCustomerError or, with the
// customer and the plan, a *NoAllowanceError. The values share memory with
// the state and must not be changed.
func (s State) Authenticate(bearer string) (Customer, Plan, Allowance, error) {
	hash := sha256.Sum256([]byte(bearer))
	ref, found := s.keys[hash]
	if subtle.ConstantTimeCompare(ref.hash[:], hash[:]) != 1 || !found {
		return Customer{}, Plan{}, Allowance{}, &UnknownCustomerError{}
	}
	plan := s.plans[ref.plan]
	customer := plan.Customers[ref.customer]
	allowance, err := s.Allowance(plan.Name)
	return customer, plan, allowance, err
}

// Allowance returns the allowance of a plan or a *NoAllowanceError.
func (s State) Allowance(name string) (Allowance, error) {
	for _, allowance := range s.allowances {
		if allowance.Plan == name {
			return allowance, nil
		}
	}
	return Allowance{}, &NoAllowanceError{Plan: name}
}

// PermitModel returns a *ForbiddenError unless the model may be called.
func (a Allowance) PermitModel(model string) error { return a.permit("Models", a.Models, model) }

// PermitService returns a *ForbiddenError unless the service may be called.
func (a Allowance) PermitService(service string) error {
	return a.permit("Services", a.Services, service)
}

func (a Allowance) permit(field string, allowed []string, value string) error {
	if slices.Contains(allowed, value) {
		return nil
	}
	return &ForbiddenError{Plan: a.Plan, List: ListAllowances, Field: field, Value: value}
}

// AllowsVM reports whether a VM of this availability zone and class may be
// used.
func (a Allowance) AllowsVM(zone, class string) bool {
	return allowsOrAll(a.Zones, zone) && allowsOrAll(a.Classes, class)
}

func allowsOrAll(allowed []string, value string) bool {
	return len(allowed) == 0 || slices.Contains(allowed, value)
}

// indexKeys maps key hashes to customers. The list must be valid.
func indexKeys(plans []Plan) map[[sha256.Size]byte]keyRef {
	keys := make(map[[sha256.Size]byte]keyRef)
	for p, plan := range plans {
		for c, customer := range plan.Customers {
			for _, text := range customer.KeyHashes {
				hash, _ := decodeHash(text)
				keys[hash] = keyRef{hash: hash, plan: p, customer: c}
			}
		}
	}
	return keys
}
