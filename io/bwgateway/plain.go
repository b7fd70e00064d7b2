package bwgateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"bilberrywick/core/bwforward"
)

// reply is a whole answer of an upstream.
type reply struct {
	status int
	header http.Header
	body   []byte
}

const (
	// maxReply bounds the answers kept in memory; longer ones count as broken.
	maxReply = 16 << 20
	// repeatShare is the part of the remaining time after which an idempotent
	// request without an answer goes to another upstream.
	repeatShare = 0.4
)

// servePlain answers with the whole answer of one upstream.
func (cl *call) servePlain() {
	var failed *reply
	for cl.tries < maxTries && !cl.gone() && cl.left() > 0 {
		nd := cl.gw.cfg.Pool.Choose(cl.work())
		if nd == nil {
			break
		}
		cl.tries++
		rep, err := cl.tryPlain(nd)
		cl.logTry(nd, rep, err)
		if err == nil && (rep.status < http.StatusInternalServerError || !cl.mayRepeat()) {
			cl.reply(nd, rep)
			return
		}
		if err == nil {
			failed = rep
		}
		if cl.sent > 0 && !cl.mayRepeat() {
			break
		}
		if !cl.mayArrive(bwforward.PlainRetry) {
			break
		}
	}
	cl.endPlain(failed)
}

// mayRepeat reports whether a request that may have run can be sent again.
func (cl *call) mayRepeat() bool {
	return cl.match.Route.Kind == bwforward.Idempotent && cl.sent < max(cl.match.Route.MaxUpstreams, 1)
}

// endPlain answers a request that no upstream has answered well.
func (cl *call) endPlain(failed *reply) {
	switch {
	case cl.gone():
		cl.reason = "caller left"
		cl.abort()
	case failed != nil:
		cl.reply(nil, failed)
	case cl.sent == 0:
		cl.refuse(http.StatusServiceUnavailable, "no upstream took it")
	case cl.left() <= 0:
		cl.refuse(http.StatusGatewayTimeout, "no answer in time")
	default:
		cl.refuse(http.StatusBadGateway, "upstream broke off")
	}
}

// errNotRun says that an upstream has refused the request without running it.
var errNotRun = errors.New("upstream has not run the request")

// tryPlain gets the whole answer of one upstream.
func (cl *call) tryPlain(nd *bwforward.Node) (*reply, error) {
	ctx, cancel := context.WithCancel(cl.ctx)
	defer cancel()
	plc := nd.Place(cl.work())
	defer plc.End()
	started := cl.gw.cfg.Now()
	exc, err := cl.open(ctx, nd, cl.dispatch(nd))
	if err != nil {
		return nil, err
	}
	defer exc.close()
	by := cl.until
	if cl.mayRepeat() {
		by = started.Add(time.Duration(float64(cl.left()) * repeatShare))
	}
	if err := exc.head(by, cl.out.method); err != nil {
		cl.fail(nd)
		return nil, err
	}
	ans, err := cl.observe(nd, exc.rsp)
	if err != nil {
		cl.fail(nd)
		return nil, err
	}
	if ans.NotRun || ans.OtherUpstream {
		return nil, errNotRun
	}
	body, err := io.ReadAll(io.LimitReader(exc.rsp.Body, maxReply+1))
	if err == nil && len(body) > maxReply {
		err = errors.New("answer is too long")
	}
	if err == nil {
		err = cl.checkEnd(nd, exc)
	}
	if err != nil {
		cl.fail(nd)
		return nil, fmt.Errorf("%w: %w", ErrIncompleteResponse, err)
	}
	nd.RecordResponse(cl.gw.cfg.Now())
	if exc.rsp.StatusCode >= http.StatusInternalServerError {
		cl.exclude = append(cl.exclude, nd.ID)
	}
	return &reply{status: exc.rsp.StatusCode, header: exc.rsp.Header, body: body}, nil
}

// fail notes that an upstream did not answer, unless the caller ended it.
func (cl *call) fail(nd *bwforward.Node) {
	if cl.gone() {
		return
	}
	cl.gw.failed(nd)
	cl.exclude = append(cl.exclude, nd.ID)
}

// reply passes an upstream's answer on.
func (cl *call) reply(nd *bwforward.Node, rep *reply) {
	cl.status, cl.reason = rep.status, "answered"
	if nd != nil {
		cl.upstream = nd.ID
	}
	copyHeader(cl.wrt.Header(), rep.header)
	cl.wrt.Header().Set("Content-Length", fmt.Sprint(len(rep.body)))
	cl.wrt.WriteHeader(rep.status)
	if _, err := cl.wrt.Write(rep.body); err != nil {
		cl.reason = "caller left: " + err.Error()
	}
}

// connectionHeaders concern one connection only.
var connectionHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authenticate": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Content-Length": true,
}

// copyHeader copies what concerns the message and not the connection.
func copyHeader(dst, src http.Header) {
	for name, vals := range src {
		if !connectionHeaders[name] {
			dst[name] = vals
		}
	}
}

func (cl *call) logTry(nd *bwforward.Node, rep *reply, err error) {
	if cl.gone() || err == nil && rep.status < http.StatusInternalServerError {
		return
	}
	status := 0
	if rep != nil {
		status = rep.status
	}
	cl.gw.cfg.Log.Warn("attempt failed", "Request", cl.ask.RequestID, "Upstream", nd.ID, "Address", nd.Address,
		"Status", status, "Error", err, "Sent", cl.sent, "Left", cl.left())
}
