package membership

import (
	"storj.io/drpc"
)

// server answers other daemons. It implements drpc.Handler.
type server struct{ group *Group }

// HandleRPC implements drpc.Handler.
func (s server) HandleRPC(stream drpc.Stream, call string) error {
	switch call {
	case callExchange:
		var theirs Message
		if err := stream.MsgRecv(&theirs, encoding{}); err != nil {
			return err
		}
		s.group.hear(theirs, 0)
		reply, err := s.group.answer(theirs)
		if err != nil {
			return err
		}
		return stream.MsgSend(&reply, encoding{})
	case callRecords:
		var request RecordsRequest
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		reply := s.group.handler.Records(request)
		return stream.MsgSend(&reply, encoding{})
	case callNews:
		var message newsMessage
		if err := stream.MsgRecv(&message, encoding{}); err != nil {
			return err
		}
		s.group.told(message)
		return stream.MsgSend(&acknowledgement{}, encoding{})
	default:
		return &UnknownCallError{Call: call}
	}
}
