package steer

import (
	"strconv"

	"go.uber.org/zap"

	"github.com/boragelane/boragelane/internal/edge/httpd"
	"github.com/boragelane/boragelane/internal/flow/pipe"
)

// recordRequest records a finished job in the metrics and the log.
func (h *Host) recordRequest(job *pipe.Job) {
	took := h.Clock().Sub(job.Started)
	h.Metrics.ObserveRequest(job, took)
	(&eventLog{log: h.Log, metrics: h.Metrics}).logRequest(job, took)
}

// recordUnread records a request that was refused before it was read in full.
func (h *Host) recordUnread(r *httpd.Request, status int) {
	h.Metrics.Unread.WithLabelValues(strconv.Itoa(status)).Inc()
	h.Log.Info("request not read", zap.String("id", h.front.Job(r).ID), zap.String("path", r.Target), zap.Int("status", status))
}

// recordClosed counts closed connections of callers, and logs those that this host closes before all requests are answered and
// all bytes of the responses are acknowledged: what is missing may never arrive.
func (h *Host) recordClosed(c httpd.Closed) {
	delivered := c.Unacknowledged == 0 && len(c.Unanswered) == 0
	by := "host"
	if c.ByCaller {
		by = "caller"
	}
	h.Metrics.Closed.WithLabelValues(by, strconv.FormatBool(c.Announced), strconv.FormatBool(delivered)).Inc()
	if delivered || c.ByCaller {
		return
	}
	last := ""
	if c.Last != nil {
		last = h.front.Job(c.Last).ID
	}
	var unanswered []string
	for _, r := range c.Unanswered {
		unanswered = append(unanswered, h.front.Job(r).ID)
	}
	h.Log.Warn("closed before delivery", zap.String("id", last), zap.Strings("unanswered", unanswered),
		zap.Int("unacknowledged", c.Unacknowledged), zap.Bool("announced", c.Announced), zap.Bool("stopping", h.stopping.Load()))
}
