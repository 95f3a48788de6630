package loans

import (
	"context"
	"net"
	"time"

	"github.com/joomcode/errorx"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/core/roster"
	"github.com/boragelane/boragelane/internal/ctrl/deal"
)

// Errors is the namespace of this package's errors.
var Errors = errorx.NewNamespace("loans")

// ErrCall is a host that gave no shares.
var ErrCall = Errors.NewType("call")

const (
	// period is the time between two calls: demand is followed that closely.
	period = 300 * time.Millisecond
	// callLife bounds a call; far regions answer in 110 ms.
	callLife = 500 * time.Millisecond
	// shunLife is how long a host that gave no shares is passed over.
	shunLife = 3 * time.Second
)

// Asker tells what to ask for.
type Asker interface {
	Ask(now time.Time) deal.Ask
}

// Client asks for this host's shares, again and again.
type Client struct {
	Asker Asker
	Local Dealer              // This host as the one that splits.
	View  func() *roster.View // Who is there.
	Give  func(s deal.Shares) // Takes the shares.
	Lost  func(host string, err error)
	Clock func() time.Time
	Done  chan struct{}

	conn *jsonrpc2.Conn
	to   roster.Host
	shun map[string]time.Time
}

// Run asks until the context ends.
func (c *Client) Run(ctx context.Context) {
	defer close(c.Done)
	defer c.hang()
	c.shun = map[string]time.Time{}
	t := time.NewTicker(period)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		to, ok := c.pick()
		if !ok {
			continue
		}
		shares, err := c.ask(ctx, to)
		if err != nil {
			c.Lost(to.Name, err)
			c.hang()
			c.shun[to.Name] = c.Clock().Add(shunLife)
			continue
		}
		c.Give(shares)
	}
}

// pick returns the host that splits: the first live one by name that is not passed over.
func (c *Client) pick() (roster.Host, bool) {
	now := c.Clock()
	for _, h := range c.View().Hosts {
		if now.After(c.shun[h.Name]) {
			return h, true
		}
	}
	return roster.Host{}, false
}

func (c *Client) ask(ctx context.Context, to roster.Host) (deal.Shares, error) {
	ctx, cancel := context.WithTimeout(ctx, callLife)
	defer cancel()
	a := c.Asker.Ask(c.Clock())
	if to.Name == c.View().Self.Name {
		shares, ok := c.Local.Ask(ctx, a)
		if !ok || shares == nil {
			return nil, ErrCall.New("this host is not in its own view")
		}
		return shares, nil
	}
	if c.conn == nil || c.to != to {
		c.hang()
		nc, err := (&net.Dialer{}).DialContext(ctx, "tcp", to.Peer)
		if err != nil {
			return nil, ErrCall.Wrap(err, "connecting to %s", to.Name)
		}
		c.conn = jsonrpc2.NewConn(context.WithoutCancel(ctx), jsonrpc2.NewBufferedStream(nc, jsonrpc2.VarintObjectCodec{}), noCalls{})
		c.to = to
	}
	var shares deal.Shares
	if err := c.conn.Call(ctx, method, a, &shares); err != nil {
		return nil, ErrCall.Wrap(err, "asking %s", to.Name)
	}
	return shares, nil
}

func (c *Client) hang() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// noCalls ignores calls from the other side, which makes none.
type noCalls struct{}

// Handle ignores a call.
func (noCalls) Handle(context.Context, *jsonrpc2.Conn, *jsonrpc2.Request) {}
