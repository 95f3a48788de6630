package steer

import (
	"context"
	"net"
	"net/http"
	"time"
)

// listenTCP opens a listener.
func listenTCP(ctx context.Context, address string) (net.Listener, error) {
	return (&net.ListenConfig{}).Listen(ctx, "tcp", address)
}

// listen opens the listener for callers, and serves readiness, directory and metrics on their own addresses.
func (h *Host) listen(ctx context.Context) (net.Listener, error) {
	s := h.Settings
	front, err := h.Listen(ctx, s.Host.Front)
	if err != nil {
		return nil, ErrListen.Wrap(err, "listening for callers on %s", s.Host.Front)
	}
	for addr, handler := range map[string]http.Handler{
		s.Ready: http.HandlerFunc(h.ready), s.Directory: h.front.DirectoryHandler(h.loop.View), s.Metrics: h.Metrics.Handler(),
	} {
		if addr == "" {
			continue
		}
		ln, err := h.Listen(ctx, addr)
		if err != nil {
			_ = front.Close()
			return nil, ErrListen.Wrap(err, "listening on %s", addr)
		}
		srv := &http.Server{Handler: handler, ReadHeaderTimeout: auxHeaderTimeout, IdleTimeout: auxIdleTimeout}
		go func() { _ = srv.Serve(ln) }()
	}
	return front, nil
}

const (
	// auxHeaderTimeout is the time to read a request header on the addresses for readiness, directory and metrics.
	auxHeaderTimeout = 3 * time.Second
	// auxIdleTimeout closes idle connections on these addresses.
	auxIdleTimeout = 30 * time.Second
)

// ready answers the platform's readiness checks: a host is ready while it has a policy and is not stopping.
func (h *Host) ready(w http.ResponseWriter, _ *http.Request) {
	if h.stopping.Load() || h.loop.View().Policy == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}
