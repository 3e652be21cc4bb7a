package plan

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"slices"
	"strings"
)

// The bounds of the priority of an allowance.
const (
	MinPriority = -1000
	MaxPriority = 1000
)

// fault is an invalid field of a change or of one of its entries.
type fault struct {
	field  string
	reason string
}

// CheckPlans returns an *InvalidError for the first fault of a list of plans.
func CheckPlans(plans []Plan) error {
	names := make(map[string]bool)
	customers := make(map[[2]string]bool)
	hashes := make(map[[sha256.Size]byte]bool)
	for i, plan := range plans {
		found := checkPlan(plan)
		if found == nil {
			found = checkUnique(names, plan.Name, "Name")
		}
		if found == nil {
			found = checkCustomers(plan.Customers, customers, hashes)
		}
		if found != nil {
			return invalid(ListPlans, plan.Name, i, *found)
		}
	}
	return nil
}

// CheckAllowances returns an *InvalidError for the first fault of a list of
// allowances.
func CheckAllowances(allowances []Allowance) error {
	names := make(map[string]bool)
	for i, allowance := range allowances {
		found := checkAllowance(allowance)
		if found == nil {
			found = checkUnique(names, allowance.Plan, "Plan")
		}
		if found != nil {
			return invalid(ListAllowances, allowance.Plan, i, *found)
		}
	}
	return nil
}

func invalid(list ListName, name string, index int, found fault) error {
	if name == "" {
		name = fmt.Sprintf("#%d", index)
	}
	return &InvalidError{List: list, Entry: name, Field: found.field, Reason: found.reason}
}

func checkPlan(p Plan) *fault {
	switch {
	case p.Name == "":
		return &fault{"Name", "is empty"}
	case p.FirstToken < 0:
		return &fault{"FirstToken", "is negative"}
	case p.BetweenTokens < 0:
		return &fault{"BetweenTokens", "is negative"}
	case p.Deadline < 0:
		return &fault{"Deadline", "is negative"}
	case p.RequestsPerSecond < 0:
		return &fault{"RequestsPerSecond", "is negative"}
	case p.TokensPerSecond < 0:
		return &fault{"TokensPerSecond", "is negative"}
	case p.CostWeight < 0:
		return &fault{"CostWeight", "is negative"}
	case p.RecomputeWeight < 0:
		return &fault{"RecomputeWeight", "is negative"}
	}
	for i, path := range p.IdempotentPaths {
		if !strings.HasPrefix(path, "/") {
			return &fault{fmt.Sprintf("IdempotentPaths[%d]", i), "does not start with a slash"}
		}
	}
	return nil
}

func checkCustomers(list []Customer, names map[[2]string]bool, hashes map[[sha256.Size]byte]bool) *fault {
	for i, customer := range list {
		path := fmt.Sprintf("Customers[%d]", i)
		name := [2]string{customer.Workspace, customer.Name}
		switch {
		case customer.Name == "":
			return &fault{path + ".Name", "is empty"}
		case names[name]:
			return &fault{path + ".Name", fmt.Sprintf("%q is in the workspace already", customer.Name)}
		case len(customer.KeyHashes) == 0:
			return &fault{path + ".KeyHashes", "is empty"}
		}
		names[name] = true
		if found := checkHashes(path, customer.KeyHashes, hashes); found != nil {
			return found
		}
	}
	return nil
}

func checkHashes(path string, list []string, seen map[[sha256.Size]byte]bool) *fault {
	for i, text := range list {
		field := fmt.Sprintf("%s.KeyHashes[%d]", path, i)
		hash, ok := decodeHash(text)
		if !ok {
			return &fault{field, "is not a SHA-256 sum in hexadecimal"}
		}
		if seen[hash] {
			return &fault{field, "is in the list already"}
		}
		seen[hash] = true
	}
	return nil
}

func checkAllowance(a Allowance) *fault {
	if a.Plan == "" {
		return &fault{"Plan", "is empty"}
	}
	if a.Priority < MinPriority || a.Priority > MaxPriority {
		return &fault{"Priority", fmt.Sprintf("%d is outside %d to %d", a.Priority, MinPriority, MaxPriority)}
	}
	for _, list := range []struct {
		field  string
		values []string
	}{{"Zones", a.Zones}, {"Classes", a.Classes}, {"Models", a.Models}, {"Services", a.Services}} {
		if i := slices.Index(list.values, ""); i >= 0 {
			return &fault{fmt.Sprintf("%s[%d]", list.field, i), "is empty"}
		}
	}
	return nil
}

func checkUnique(seen map[string]bool, name, field string) *fault {
	if seen[name] {
		return &fault{field, fmt.Sprintf("%q is in the list already", name)}
	}
	seen[name] = true
	return nil
}

func decodeHash(text string) (hash [sha256.Size]byte, ok bool) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != sha256.Size {
		return hash, false
	}
	copy(hash[:], raw)
	return hash, true
}
