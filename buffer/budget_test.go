package buffer_test

import (
	"errors"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/cranberrywalk/cranberrywalk/buffer"
)

const limitBytes, freeBytes = 100, 10

func newBudget(onFailure func(*buffer.ExhaustedError)) *buffer.Budget {
	return buffer.New(buffer.Options{LimitBytes: limitBytes, FreeBytes: freeBytes, OnFailure: onFailure})
}

func TestLargestAccountIsFailed(t *testing.T) {
	c := qt.New(t)
	var reported []*buffer.ExhaustedError
	budget := newBudget(func(failure *buffer.ExhaustedError) { reported = append(reported, failure) })
	interrupted := 0
	long := budget.Open("long", func() { interrupted++ })
	short := budget.Open("short", func() { c.Error("the short one is interrupted") })
	c.Assert(long.Resize(90), qt.IsNil)

	c.Assert(short.Resize(20), qt.IsNil)

	c.Check(interrupted, qt.Equals, 1)
	c.Check(budget.HeldBytes(), qt.Equals, 20)
	want := buffer.ExhaustedError{Owner: "long", Bytes: 90, LimitBytes: limitBytes}
	c.Assert(reported, qt.HasLen, 1)
	c.Check(*reported[0], qt.Equals, want)
	for _, call := range []func() error{func() error { return long.Resize(1) }, long.Settle, long.Close, long.Close} {
		var exhausted *buffer.ExhaustedError
		c.Assert(errors.As(call(), &exhausted), qt.IsTrue)
		c.Check(*exhausted, qt.Equals, want)
	}
	c.Check(budget.HeldBytes(), qt.Equals, 20)
}

func TestAccountThatGrowsMayBeTheLargest(t *testing.T) {
	c := qt.New(t)
	budget := newBudget(nil)
	short := budget.Open("short", func() { c.Error("the short one is interrupted") })
	long := budget.Open("long", func() { c.Error("an account interrupts itself") })
	c.Assert(short.Resize(40), qt.IsNil)
	c.Check(long.Resize(61), qt.IsNotNil)
	c.Check(budget.HeldBytes(), qt.Equals, 40)
}

// TestSettledAccountIsNotFailed guards against complete answers that are dropped for the
// sake of incomplete ones.
func TestSettledAccountIsNotFailed(t *testing.T) {
	c := qt.New(t)
	budget := newBudget(nil)
	complete := budget.Open("complete", func() { c.Error("the complete one is interrupted") })
	c.Assert(complete.Resize(90), qt.IsNil)
	c.Assert(complete.Settle(), qt.IsNil)
	c.Check(budget.Open("next", func() {}).Resize(20), qt.IsNotNil)
	c.Check(complete.Close(), qt.IsNil)
	c.Check(budget.HeldBytes(), qt.Equals, 0)
}

// TestShortBuffersAreNotFailed guards against short answers that fail since complete ones
// that wait for their callers hold all of the budget.
func TestShortBuffersAreNotFailed(t *testing.T) {
	c := qt.New(t)
	budget := newBudget(nil)
	complete := budget.Open("complete", nil)
	c.Assert(complete.Resize(limitBytes), qt.IsNil)
	c.Assert(complete.Settle(), qt.IsNil)
	for range 2 * limitBytes {
		short := budget.Open("short", nil)
		c.Assert(short.Resize(freeBytes), qt.IsNil)
		c.Assert(short.Settle(), qt.IsNil)
	}
	c.Check(budget.HeldBytes(), qt.Equals, limitBytes)
}

func TestNilBudgetHasNoLimit(t *testing.T) {
	c := qt.New(t)
	var budget *buffer.Budget
	account := budget.Open("any", nil)
	c.Check(account.Resize(1<<40), qt.IsNil)
	c.Check(account.Settle(), qt.IsNil)
	c.Check(account.Close(), qt.IsNil)
	c.Check(budget.HeldBytes(), qt.Equals, 0)
}

// modelAccount is what a test expects of an account.
type modelAccount struct {
	account       *buffer.Account
	bytes         int
	counted       bool
	failed        bool
	interrupted   bool
	settled, done bool
}

// TestBudgetForAnySequence checks after any sequence of calls that the sum is that of the
// accounts, that it exceeds the limit only by settled accounts, that no account is failed
// while a larger one is open, and that nothing is held once all are closed.
func TestBudgetForAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := newBudget(nil)
		var accounts []*modelAccount
		t.Repeat(map[string]func(*rapid.T){
			"open": func(*rapid.T) {
				m := &modelAccount{}
				m.account = budget.Open("any", func() { m.interrupted = true })
				accounts = append(accounts, m)
			},
			"resize": func(t *rapid.T) {
				if m := draw(t, accounts); m != nil && !m.settled && !m.done {
					resize(t, accounts, m, rapid.IntRange(0, limitBytes+10).Draw(t, "bytes"))
				}
			},
			"settle": func(t *rapid.T) {
				if m := draw(t, accounts); m != nil && !m.done {
					check(t, (m.account.Settle() != nil) == m.failed, "Settle tells of a failure")
					m.settled = true
				}
			},
			"close": func(t *rapid.T) {
				if m := draw(t, accounts); m != nil {
					check(t, (m.account.Close() != nil) == m.failed, "Close tells of a failure")
					m.done, m.bytes = true, 0
				}
			},
			"": func(t *rapid.T) { checkSum(t, budget, accounts) },
		})
		for _, m := range accounts {
			_ = m.account.Close()
		}
		check(t, budget.HeldBytes() == 0, "nothing is held at the end")
	})
}

func draw(t *rapid.T, accounts []*modelAccount) *modelAccount {
	if len(accounts) == 0 {
		return nil
	}
	return rapid.SampledFrom(accounts).Draw(t, "account")
}

// resize resizes an account and checks which ones were failed.
func resize(t *rapid.T, accounts []*modelAccount, m *modelAccount, bytes int) {
	m.counted = m.counted || bytes > freeBytes
	if m.counted && !m.failed {
		m.bytes = bytes
	}
	failed := m.account.Resize(bytes) != nil
	check(t, !m.failed || failed, "a failed account stays failed")
	lost, largestLeft := []int{}, 0
	for _, other := range accounts {
		newlyFailed := !other.failed && (other.interrupted || other == m && failed)
		switch {
		case newlyFailed:
			lost = append(lost, other.bytes)
			other.failed, other.bytes = true, 0
		case !other.settled && !other.done:
			largestLeft = max(largestLeft, other.bytes)
		}
	}
	for _, bytes := range lost {
		check(t, bytes >= largestLeft, "an account is failed while a larger one is open")
	}
}

func checkSum(t *rapid.T, budget *buffer.Budget, accounts []*modelAccount) {
	sum, settled := 0, 0
	for _, m := range accounts {
		sum += m.bytes
		if m.settled {
			settled += m.bytes
		}
	}
	check(t, budget.HeldBytes() == sum, "the sum is that of the accounts")
	check(t, sum <= max(limitBytes, settled), "the limit is kept")
}

func check(t *rapid.T, holds bool, property string) {
	t.Helper()
	if !holds {
		t.Fatal(property)
	}
}

// TestConcurrentUse guards against accounts that stay counted, and against a deadlock
// between accounts that fail each other.
func TestConcurrentUse(t *testing.T) {
	c := qt.New(t)
	budget := newBudget(func(*buffer.ExhaustedError) {})
	var running sync.WaitGroup
	for i := range 8 {
		running.Go(func() {
			for range 200 {
				account := budget.Open("any", func() { _ = budget.HeldBytes() })
				for bytes := i; bytes < limitBytes; bytes += 10 {
					if account.Resize(bytes) != nil {
						break
					}
				}
				_ = account.Settle()
				_ = account.Close()
			}
		})
	}
	running.Wait()
	c.Check(budget.HeldBytes(), qt.Equals, 0)
}
