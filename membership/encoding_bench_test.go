package membership

import (
	"fmt"
	"testing"

	"github.com/cranberrywalk/cranberrywalk/balance"
	"github.com/cranberrywalk/cranberrywalk/latest"
	"github.com/cranberrywalk/cranberrywalk/quota"
	"github.com/cranberrywalk/cranberrywalk/usage"
)

// relayedMessage returns what a relay sends to a daemon of its zone in a group of
// sixty.
func relayedMessage(b *testing.B) Message {
	var message Message
	for i := range 60 {
		digest := Digest{
			Sender: Member{Name: fmt.Sprint("entry-zone-", i), Address: "10.1.0.14:8229", Zone: "zone-1", Incarnation: "01KM97DVTGNC72PNDV9N1MMN9K"},
			Ends:   []TopicEnd{{Topic: "keyed.x", End: latest.Position{Offset: 14022}}, {Topic: "keyed.y", End: latest.Position{Offset: 22}}, {Topic: "keyed.z", End: latest.Position{Offset: 60}}, {Topic: "duties", End: latest.Position{Offset: 70}}},
		}
		for j := range 10 {
			digest.Load.Loads = append(digest.Load.Loads, balance.Load{Runner: fmt.Sprintf("i-72a25050%02x", j), Running: 2, PrefillTokens: 5320})
			digest.Usage = append(digest.Usage, quota.Usage{Customer: fmt.Sprint("gohu41", j), Units: 1234567})
			digest.Counts = append(digest.Counts, usage.Count{Window: 355268094, Customer: fmt.Sprint("gohu41", j), Requests: 41})
		}
		content, err := encoding{}.Marshal(&digest)
		if err != nil {
			b.Fatal(err)
		}
		message.Relayed = append(message.Relayed, Envelope{Content: content})
	}
	return message
}

// BenchmarkRelayedMessage encodes and decodes one message of sixty digests.
func BenchmarkRelayedMessage(b *testing.B) {
	message := relayedMessage(b)
	b.ReportAllocs()
	for range b.N {
		content, err := encoding{}.Marshal(&message)
		if err != nil {
			b.Fatal(err)
		}
		b.SetBytes(int64(len(content)))
		var got Message
		if err := (encoding{}).Unmarshal(content, &got); err != nil {
			b.Fatal(err)
		}
	}
}
