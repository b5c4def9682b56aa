package relay

import (
	"context"
	"net/http"
	"strconv"

	"github.com/azurespan/azurespan/internal/base/event"
	"github.com/azurespan/azurespan/internal/rule/pick"
)

// response is a response with its buffered body, in blocks.
type response struct {
	res  *http.Response
	body [][]byte
}

// size returns the number of bytes of the body.
func (r *response) size() (n int) {
	for _, block := range r.body {
		n += len(block)
	}
	return n
}

// forwardBuffered reads the complete response and writes it to the caller. A
// response with a 5xx status is not written but returned in the outcome, since
// a retry may succeed.
func (x *exchange) forwardBuffered(ctx context.Context, k *call) (o outcome, released bool) {
	res, firstByteTime := k.res, k.firstByteTime
	x.beginAnswer()
	hold := x.hold(k.up)
	body, err := readBody(res.Body, hold, maxResponseBytes)
	if err != nil {
		hold.Release()
		return interrupted(err, firstByteTime), false
	}
	k.release()
	if !framed(res) && res.StatusCode < http.StatusMultipleChoices && x.vanished(ctx, k.up) {
		hold.Release()
		return outcome{mayHaveRun: true, status: res.StatusCode, result: pick.Interrupted, firstByteTime: firstByteTime, cause: "response ended with its connection and its upstream's process"}, true
	}
	full := &response{res, body}
	if res.StatusCode >= http.StatusInternalServerError {
		o := outcome{status: res.StatusCode, mayHaveRun: true, result: pick.Failed, firstByteTime: firstByteTime, response: full, cause: res.Status}
		return o, true
	}
	x.writeResponse(full)
	return outcome{done: true, survived: survived(res), unframed: !framed(res), status: res.StatusCode, result: pick.Succeeded, firstByteTime: firstByteTime}, true
}

// writeResponse writes a complete response to the caller.
func (x *exchange) writeResponse(full *response) {
	x.firstByteAt = x.relay.now()
	h := x.w.Header()
	x.relay.codec.CopyHeader(h, full.res.Header)
	// net/http knows where an empty body has a length.
	if n := full.size(); n > 0 {
		h.Set("Content-Length", strconv.Itoa(n))
	}
	x.w.WriteHeader(full.res.StatusCode)
	for _, block := range full.body {
		if _, err := x.w.Write(block); err != nil {
			event.CallerWriteFailed.Log("request", x.req.ID, "cause", err.Error())
			return
		}
	}
}
