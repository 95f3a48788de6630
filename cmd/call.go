package cmd

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/boragelane/boragelane/internal/edge/strict"
)

// maxAnswerSize limits the bytes read of a response.
const maxAnswerSize = 4 << 20

// call makes one HTTP request and returns the response body, or an error whose type depends on the response status.
func call(ctx context.Context, wait time.Duration, method, url string, body []byte) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return nil, ErrUsage.Wrap(err, "making the request")
	}
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := (&http.Client{Transport: &http.Transport{Proxy: nil}}).Do(req)
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "asking the host")
	}
	defer func() { _ = resp.Body.Close() }()
	out, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return nil, ErrUnavailable.Wrap(err, "reading the answer")
	}
	text := bytes.TrimSpace(out)
	if err := strict.Check(resp); err != nil {
		return nil, ErrFailed.Wrap(err, "reading the answer")
	}
	switch {
	case resp.StatusCode < http.StatusMultipleChoices:
		return out, nil
	case resp.StatusCode == http.StatusConflict:
		return nil, ErrConflict.New("%s", text)
	case resp.StatusCode == http.StatusServiceUnavailable:
		return nil, ErrUnavailable.New("%s", text)
	case resp.StatusCode < http.StatusInternalServerError:
		return nil, ErrUsage.New("%s", text)
	}
	return nil, ErrFailed.New("status %d: %s", resp.StatusCode, text)
}
