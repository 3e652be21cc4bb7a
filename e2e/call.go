package e2e

import (
	"os"

	qt "github.com/frankban/quicktest"

	"github.com/cranberrywalk/cranberrywalk/fleet"
)

// logTailBytes is how much of each log a failed scenario prints.
const logTailBytes = 4000

// Call is a request in flight.
type Call struct {
	driver *Driver
	// events receives the number of each event of a stream.
	events chan int
	// ended is closed when answer and err are set.
	ended  chan struct{}
	answer fleet.Answer
	err    error
}

// Chat starts a streamed chat request.
func (d *Driver) Chat(daemon, question string, tokens int) *Call {
	call := d.newCall()
	caller := fleet.NewCaller(d.daemons[daemon], customerKey)
	caller.OnEvent = func(number int) {
		select {
		case call.events <- number:
		default:
		}
	}
	return call.begin(func() (fleet.Answer, error) {
		return caller.Chat(fleet.ChatRequest{
			Model: Model, Stream: true, MaxTokens: tokens,
			Messages: []fleet.Message{{Role: "user", Content: question}},
		})
	})
}

// PostConfirmation starts a POST to the plain service with an idempotency key; an
// empty key sends none.
func (d *Driver) PostConfirmation(daemon, key string) *Call {
	caller := fleet.NewCaller(d.daemons[daemon], customerKey)
	return d.newCall().begin(func() (fleet.Answer, error) {
		return caller.PostService(Service, "/confirmations", key, `{"School": "Khovd 3"}`)
	})
}

func (d *Driver) newCall() *Call {
	return &Call{driver: d, events: make(chan int, 1024), ended: make(chan struct{})}
}

func (c *Call) begin(send func() (fleet.Answer, error)) *Call {
	go func() {
		defer close(c.ended)
		c.answer, c.err = send()
	}()
	return c
}

// AwaitEvents waits until count events of the stream have arrived.
func (c *Call) AwaitEvents(count int) *Call {
	c.driver.Helper()
	for {
		select {
		case number := <-c.events:
			if number >= count {
				return c
			}
		case <-c.ended:
			c.driver.Fatalf("the stream ended after %d events: %+v %v", c.answer.Events, c.answer, c.err)
		}
	}
}

// Result waits for the end of the call and returns the answer, or a connection
// error.
func (c *Call) Result() (fleet.Answer, error) {
	<-c.ended
	return c.answer, c.err
}

// Answer waits for the end of the call and fails the test on a connection error.
func (c *Call) Answer() fleet.Answer {
	c.driver.Helper()
	answer, err := c.Result()
	c.driver.Assert(err, qt.IsNil)
	return answer
}

// Ended reports whether the call has ended.
func (c *Call) Ended() bool {
	select {
	case <-c.ended:
		return true
	default:
		return false
	}
}

// AssertComplete checks that the caller got exactly the expected text for the
// question.
func (c *Call) AssertComplete(question string, tokens int) {
	c.driver.Helper()
	answer := c.Answer()
	c.driver.Assert(answer.Text, qt.Equals, ExpectedText(question, tokens), qt.Commentf("%s", answer.StreamError))
	c.driver.Assert(answer.Outcome, qt.Equals, "Answered")
	c.driver.Assert(answer.Complete, qt.IsTrue)
}

// AssertAnswered checks that the caller got an answer, and logs the timeline of all
// daemons if not.
func (c *Call) AssertAnswered() {
	c.driver.Helper()
	answer := c.Answer()
	if answer.Outcome != "Answered" {
		for name := range c.driver.daemons {
			c.driver.Log(c.driver.Command("timeline", "--settings", c.driver.Fleet.SettingsPath(name)))
			break
		}
	}
	c.driver.Assert(answer.Outcome, qt.Equals, "Answered", qt.Commentf("%s", answer.Text))
}

// readTail returns the end of a file, or an empty string if it can't be read.
func readTail(file string) string {
	content, err := os.ReadFile(file)
	if err != nil {
		return ""
	}
	return string(content[max(0, len(content)-logTailBytes):])
}
