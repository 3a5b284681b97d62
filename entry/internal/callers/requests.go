package callers

import (
	"encoding/binary"
	"net/http"

	"github.com/go-chi/chi/v5"

	"comfreyrelay.example/entry/internal/dispatch"
	"comfreyrelay.example/relay/failure"
)

func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, readModelRequest, permitModel)
}

func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, readServiceCall, permitService)
}

func readModelRequest(c *call) *problem {
	raw, refused := readBody(c.w, c.r)
	if refused != nil {
		return refused
	}
	body, refused := decodeRequest(raw)
	if refused != nil {
		return refused
	}
	c.req = &dispatch.Request{
		Lane:       modelLane + body.Model,
		Model:      body.Model,
		Adapter:    body.Adapter,
		Prompt:     body.Prompt,
		MaxTokens:  body.MaxTokens,
		Repeatable: body.Repeatable,
		Deadline:   c.arrived.Add(c.now.deployment.deadline(body.DeadlineMillis)),
	}
	c.req.Versions = func() []string { return c.srv.current.Load().versions[body.Model] }
	var tokens [8]byte
	binary.LittleEndian.PutUint64(tokens[:], uint64(body.MaxTokens))
	sum := contentHash(c.who.name, []byte("model"), []byte(body.Model), []byte(body.Adapter), []byte(body.Prompt), tokens[:])
	copy(c.hash[:], sum)
	return c.readKey(body.Key)
}

func readServiceCall(c *call) *problem {
	raw, refused := readBody(c.w, c.r)
	if refused != nil {
		return refused
	}
	body, refused := decodeService(raw)
	if refused != nil {
		return refused
	}
	name := chi.URLParam(c.r, "name")
	c.req = &dispatch.Request{
		Lane:       serviceLane + name,
		Service:    name,
		Body:       body.Body,
		Repeatable: body.Repeatable && c.now.deployment.callsRepeatable(name),
		Deadline:   c.arrived.Add(c.now.deployment.deadline(body.DeadlineMillis)),
	}
	c.req.Versions = func() []string { return []string{""} }
	copy(c.hash[:], contentHash(c.who.name, []byte("service"), []byte(name), body.Body))
	return c.readKey(body.Key)
}

// callsRepeatable reports whether the service's endpoint may be called again:
// what the caller says alone is not enough.
func (h *deployment) callsRepeatable(service string) bool {
	return h.classes[h.services[service].GetEndpoint()].GetCallsRepeatable()
}

func (c *call) readKey(text string) *problem {
	if c.req.Repeatable {
		return nil
	}
	key, given, refused := parseKey(c.r, text)
	c.key, c.keyed = key, given
	return refused
}

func permitModel(c *call) *problem {
	model := c.now.deployment.models[c.req.Model]
	switch {
	case model == nil:
		return unknownName("model " + c.req.Model)
	case !allows(model.GetCustomers(), c.who.name):
		return forbidden("model")
	case c.req.Adapter == "":
		return nil
	}
	for _, adapter := range model.GetAdapters() {
		if adapter.GetName() == c.req.Adapter {
			return nil
		}
	}
	return unknownName("adapter " + c.req.Adapter)
}

func permitService(c *call) *problem {
	service := c.now.deployment.services[c.req.Service]
	switch {
	case service == nil:
		return unknownName("service " + c.req.Service)
	case !allows(service.GetCustomers(), c.who.name):
		return forbidden("service")
	}
	return nil
}

func unknownName(what string) *problem {
	return notRun(http.StatusBadRequest, failure.New(failure.NotFound, "there is no "+what,
		"use a name from the document in force, or ask an operator"))
}
