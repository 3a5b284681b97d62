package gateway

import (
	"errors"
	"net/http"

	"comfreyrelay.example/entry/internal/upstream"
	"comfreyrelay.example/relay/call"
	"comfreyrelay.example/relay/fleet"
)

// maxAnswersRead limits the answers read from a connection to find the one that belongs to the
// request.
const maxAnswersRead = 3

var (
	errOnlyOtherAnswers = errors.New("the connection returned only answers to other requests")
	errUnproven         = errors.New("the answer does not show which request it belongs to")
)

// answerOrigin describes what shows that an answer belongs to the attempt.
type answerOrigin struct {
	conn    uint64 // number of the connection, 0 for none
	arrived bool   // an answer that belongs to the attempt arrived
	named   bool   // the answer has the request's ID
	earlier int    // answers that the connection returned to earlier requests
	dropped int    // answers to other requests that were dropped during the attempt
	unnamed int    // answers without an ID that were dropped during the attempt
}

// proves reports whether an answer belongs to the request. One without an ID may be left over from
// an earlier request on its connection, unless there was none.
func (o *answerOrigin) proves(answer call.Answer, id string) bool {
	return answer.ID == id || answer.ID == "" && o.earlier == 0
}

// receive reads the head of the request's answer. It drops answers that are not proven to belong to
// the request and reads on, since the request's own may follow.
func (x *exchange) receive(grant *fleet.Grant, conn *upstream.Conn, out *http.Request) (*http.Response, call.Answer, error) {
	origin := &x.answerOrigin
	origin.earlier = conn.Responses()
	for range maxAnswersRead {
		resp, err := conn.Receive(out)
		if err != nil {
			return nil, call.Answer{}, err
		}
		answer := x.gateway.cfg.Wire.Decode(resp)
		if origin.proves(answer, x.req.ID) {
			origin.arrived, origin.named = true, answer.ID != ""
			if !origin.named {
				grant.NoteUnnamedAnswer()
			}
			return resp, answer, nil
		}
		if answer.ID == "" {
			conn.Retire()
			if !x.awaitsNamed(grant, resp, answer) {
				return nil, call.Answer{}, errUnproven
			}
		}
		x.noteDropped(grant, resp, answer)
		if err := discardAnswer(resp); err != nil {
			return nil, call.Answer{}, err
		}
	}
	return nil, call.Answer{}, errOnlyOtherAnswers
}

// awaitsNamed applies an answer that names no request and reports whether to wait for one that does.
// A request that may be repeated does not wait after a rejection if another endpoint has room.
func (x *exchange) awaitsNamed(grant *fleet.Grant, resp *http.Response, answer call.Answer) bool {
	x.answerOrigin.unnamed++
	x.gateway.counters.unnamedAnswers.Add(1)
	if answer.Limited && !answer.Misdirected() {
		x.reportLimit(grant, answer, grant.TightenLimit(answer.Limit))
	}
	x.applyAvailability(grant, answer)
	if upstream.EndsWithConnection(resp) {
		return false
	}
	return !answer.ProvesNotRun(grant.ID()) || !x.route.Repeatable() || !x.attemptsLeft(x.attemptsUsed+1) || !x.reserveEndpoint()
}

// noteDropped counts and logs an answer that is dropped.
func (x *exchange) noteDropped(grant *fleet.Grant, resp *http.Response, answer call.Answer) {
	if answer.ID != "" {
		x.answerOrigin.dropped++
		x.gateway.counters.droppedAnswers.Add(1)
	}
	x.gateway.cfg.Log.Warn("an answer to another request was dropped", "request", x.req.ID, "of", answer.ID, "endpoint", grant.ID(),
		"answer", resp.StatusCode, "conn", x.answerOrigin.conn, "connAnswers", x.answerOrigin.earlier)
}

// receiveOutcome returns the outcome of an attempt without an answer. If no answer followed one that
// names no request, that one was probably the endpoint's answer to this request.
func (x *exchange) receiveOutcome(grant *fleet.Grant, err error) fleet.Outcome {
	gaveUp := errors.Is(err, errUnproven) || upstream.IsReadAbandoned(err)
	if x.answerOrigin.unnamed == 0 || !gaveUp {
		return silentOutcome(err, fleet.Broken)
	}
	if !x.route.Repeatable() {
		grant.NoteUnnamedAnswer()
	}
	return fleet.Unproven
}
