package bwlisten

import (
	"context"
	"crypto/tls"
	"net"

	"bilberrywick/core/bwaccount"
)

// connKey is the key of a request's connection in its context.
type connKey struct{}

// ConnContext adds the connection to the contexts of its requests, for BeginBody and
// EndBody. It must be the server's hook of that name.
func (lis *Listener) ConnContext(ctx context.Context, inner net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, unwrap(inner))
}

// unwrap returns the connection of a Listener, or nil.
func unwrap(inner net.Conn) *conn {
	if enc, ok := inner.(*tls.Conn); ok {
		inner = enc.NetConn()
	}
	cn, _ := inner.(*conn)
	return cn
}

// BeginBody marks the connection of a request as one whose body arrives. Until EndBody it
// may be closed for a new connection, as the request does not run yet.
func BeginBody(ctx context.Context) { enter(ctx, bwaccount.Body) }

// EndBody marks the connection of a request as one whose request runs.
func EndBody(ctx context.Context) { enter(ctx, bwaccount.Running) }

func enter(ctx context.Context, phase bwaccount.Phase) {
	if cn, ok := ctx.Value(connKey{}).(*conn); ok && cn != nil {
		cn.lis.mu.Lock()
		defer cn.lis.mu.Unlock()
		cn.lis.acc.Enter(&cn.holder, phase)
	}
}
