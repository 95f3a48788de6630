package loans

import (
	"context"
	"encoding/json"
	"net"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

// method is the call that brings a host's demand and returns its shares.
const method = "deal"

// Dealer splits the slots.
type Dealer interface {
	Ask(ctx context.Context, a deal.Ask) (deal.Shares, bool)
}

// Server answers hosts that ask for their shares.
type Server struct {
	Dealer Dealer
	Done   chan struct{}
}

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, ln net.Listener) {
	defer close(s.Done)
	go func() {
		<-ctx.Done()
		_ = ln.Close()
	}()
	for {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		jsonrpc2.NewConn(ctx, jsonrpc2.NewBufferedStream(c, jsonrpc2.VarintObjectCodec{}), jsonrpc2.AsyncHandler(s))
	}
}

// Handle answers one call.
func (s *Server) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	if req.Notif {
		return
	}
	var a deal.Ask
	if req.Method != method || req.Params == nil || json.Unmarshal(*req.Params, &a) != nil || a.Host == "" {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidParams, Message: "not a call for shares"})
		return
	}
	shares, ok := s.Dealer.Ask(ctx, a)
	if !ok || shares == nil {
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInternalError, Message: "this host does not know " + a.Host})
		return
	}
	_ = conn.Reply(ctx, req.ID, shares)
}
