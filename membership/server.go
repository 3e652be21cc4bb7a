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
		var request Message
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		s.group.receive(request, 0)
		reply, err := s.group.buildReply(request)
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
	case callUpdate:
		var message updateMessage
		if err := stream.MsgRecv(&message, encoding{}); err != nil {
			return err
		}
		s.group.receiveUpdate(message)
		return stream.MsgSend(&acknowledgement{}, encoding{})
	case callConfiguration:
		var request ConfigurationRequest
		if err := stream.MsgRecv(&request, encoding{}); err != nil {
			return err
		}
		return stream.MsgSend(&ConfigurationReply{Record: s.group.handler.Configuration()}, encoding{})
	default:
		return &UnknownCallError{Call: call}
	}
}
