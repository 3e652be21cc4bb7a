package catalog_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/catalog"
)

func route(name, host, prefix string) catalog.Route {
	return catalog.Route{Name: name, Host: host, Prefix: prefix, Splits: []catalog.Split{{Service: name, Weight: 1}}}
}

func TestMatchPicksTheLongestPrefix(t *testing.T) {
	configuration := catalog.New(catalog.Spec{Routes: []catalog.Route{
		route("short", "a.example", "/p/"), route("long", "a.example", "/p/q/"), route("other", "b.example", "/"),
	}})
	for _, scenario := range []struct {
		name, host, path, route string
		found                   bool
	}{
		{"short prefix", "a.example", "/p/x", "short", true},
		{"long prefix", "a.example", "/p/q/x", "long", true},
		{"prefix without its slash", "a.example", "/p", "", false},
		{"part of a name", "a.example", "/pq/", "", false},
		{"root", "b.example", "/any", "other", true},
		{"other host", "c.example", "/p/x", "", false},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			c := qt.New(t)
			got, found := configuration.Match(scenario.host, scenario.path)
			c.Check(found, qt.Equals, scenario.found)
			c.Check(got.Name, qt.Equals, scenario.route)
		})
	}
}

func TestPickFollowsTheWeights(t *testing.T) {
	c := qt.New(t)
	weighted := catalog.Route{Splits: []catalog.Split{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[weighted.Pick(float64(i)/1000)]++
	}
	c.Check(counts, qt.DeepEquals, map[string]int{"a": 900, "b": 100})
}

func TestKeyLookup(t *testing.T) {
	c := qt.New(t)
	configuration := catalog.New(catalog.Spec{Customers: []catalog.Customer{{Name: "library", Keys: []string{"k1", "k2"}}}})
	owner, found := configuration.CustomerByKey("k2")
	c.Check(found, qt.IsTrue)
	c.Check(owner.Name, qt.Equals, "library")
	_, found = configuration.CustomerByKey("")
	c.Check(found, qt.IsFalse)
	c.Check(configuration.NeedsKey(catalog.Route{}), qt.IsTrue)
	c.Check(configuration.NeedsKey(catalog.Route{Anonymous: true}), qt.IsFalse)
	c.Check(catalog.New(catalog.Spec{}).NeedsKey(catalog.Route{}), qt.IsFalse)
}

func TestQuotaCost(t *testing.T) {
	c := qt.New(t)
	tokenQuota := catalog.Quota{InTokens: true, DefaultTokens: 200}
	c.Check(tokenQuota.Cost(1500), qt.Equals, 1500.0)
	c.Check(tokenQuota.Cost(0), qt.Equals, 200.0)
	c.Check(catalog.Quota{}.Cost(1500), qt.Equals, 1.0)
}
