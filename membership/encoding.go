package membership

import (
	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"
)

// encoding carries the messages over drpc.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) { return msgpack.Marshal(message) }

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(content []byte, message drpc.Message) error {
	return msgpack.Unmarshal(content, message)
}

// The calls between daemons.
const (
	callExchange = "/membership/Exchange"
	callRecords  = "/membership/Records"
)
