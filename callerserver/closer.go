package callerserver

import (
	"context"
	"net"
)

// Closer is the side that closed a connection.
type Closer string

const (
	// Nobody means that the connection is open.
	Nobody Closer = "Nobody"
	// Caller means that the caller closed the connection, or that it failed.
	Caller Closer = "Caller"
	// Daemon means that this process closed the connection.
	Daemon Closer = "Daemon"
)

// connectionKey is the key of a request's connection in its context.
type connectionKey struct{}

// connContext is the ConnContext hook of net/http.
func connContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connectionKey{}, conn)
}

// connectionOf returns the connection of a request, or nil if it is not a connection of
// a Server.
func connectionOf(ctx context.Context) *connection {
	c, _ := ctx.Value(connectionKey{}).(*connection)
	return c
}

// ClosedBy returns the side that closed the connection of a request.
func ClosedBy(ctx context.Context) Closer {
	c := connectionOf(ctx)
	if c == nil {
		return Nobody
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.closedBy == "" {
		return Nobody
	}
	return c.closedBy
}
