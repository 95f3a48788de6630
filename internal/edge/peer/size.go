package peer

import (
	"bytes"

	"github.com/sourcegraph/jsonrpc2"

	"github.com/boragelane/boragelane/internal/ctrl/state"
)

// ControlMessageSize returns the encoded size of a control message in bytes, including its frame header and JSON-RPC
// envelope.
func ControlMessageSize(message any) int64 {
	var m Meter
	req := jsonrpc2.Request{Method: methodHeartbeat, ID: jsonrpc2.ID{Num: 1_000_000}}
	resp := jsonrpc2.Response{ID: req.ID}
	var err error
	var obj any = &resp
	switch v := message.(type) {
	case state.Heartbeat:
		err, obj = req.SetParams(fromHeartbeat(v)), &req
	case state.Exchange:
		err, obj = req.SetParams(fromExchange(v)), &req
	case state.NoticeReceived:
		err, obj = req.SetParams(wireNotice(v)), &req
	case state.HeartbeatReply:
		err = resp.SetResult(fromHeartbeatReply(v))
	case state.ExchangeReply:
		err = resp.SetResult(wireExchangeReply{Incarnation: v.Incarnation, Revision: v.Revision, Seq: v.Seq, Summaries: fromSummaries(v.Summaries)})
	}
	if err != nil {
		return 0
	}
	if err := (frameCodec{&m}).WriteObject(&bytes.Buffer{}, obj); err != nil {
		return 0
	}
	return m.Out.Load()
}
