package membership

import (
	"bytes"

	"github.com/vmihailenco/msgpack/v5"
	"storj.io/drpc"

	"github.com/cranberrywalk/cranberrywalk/packed"
)

// encoding is the msgpack encoding of the messages over drpc. Structs are sent as
// arrays without field names, so both ends must have the same fields in the same
// order.
type encoding struct{}

// Marshal implements drpc.Encoding.
func (encoding) Marshal(message drpc.Message) ([]byte, error) {
	var content bytes.Buffer
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	encoder.Reset(&content)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	encoder.UseCompactFloats(true)
	if err := encoder.Encode(message); err != nil {
		return nil, err
	}
	return content.Bytes(), nil
}

// Unmarshal implements drpc.Encoding.
func (encoding) Unmarshal(content []byte, message drpc.Message) error {
	return packed.Unmarshal(content, message)
}

// The names of the calls between daemons.
const (
	callExchange      = "/membership/Exchange"
	callRecords       = "/membership/Records"
	callUpdate        = "/membership/News"
	callConfiguration = "/membership/Configuration"
)
