package cmd

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"time"
)

type lookupArgs struct {
	Host   []string      `arg:"positional,required" help:"front addresses of entry hosts, as IP:port; the first that answers is used"`
	Caller string        `help:"name of the caller, by which hosts are picked"`
	Wait   time.Duration `default:"2s" help:"longest wait for each host"`
}

func (a *lookupArgs) run(ctx context.Context, out, _ io.Writer) error {
	var lastErr error
	for _, host := range a.Host {
		body, err := call(ctx, a.Wait, "GET", "http://"+host+"/v1/lookup?caller="+url.QueryEscape(a.Caller), nil)
		if err == nil {
			_, _ = fmt.Fprintf(out, "%s", body)
			return nil
		}
		lastErr = err
	}
	return lastErr
}
