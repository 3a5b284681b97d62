package callers

import (
	"encoding/binary"
	"net/http"

	"github.com/go-chi/chi/v5"

	"comfreyrelay.example/entry/internal/dispatch"
	"comfreyrelay.example/relay/failure"
)

// serveRequest handles POST /v1/requests.
func (s *Server) serveRequest(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, readModelRequest, authorizeModel)
}

// serveService handles POST /v1/services/{name}.
func (s *Server) serveService(w http.ResponseWriter, r *http.Request) {
	s.serve(w, r, readServiceCall, authorizeService)
}

// readModelRequest is the readFunc of requests to models.
func readModelRequest(c *call) *problem {
	raw, prob := readBody(c.w, c.r)
	if prob != nil {
		return prob
	}
	body, prob := decodeRequest(raw)
	if prob != nil {
		return prob
	}
	c.req = &dispatch.Request{
		HostPool:   modelLane + body.Model,
		Model:      body.Model,
		Adapter:    body.Adapter,
		Prompt:     body.Prompt,
		MaxTokens:  body.MaxTokens,
		Repeatable: body.Repeatable,
		Deadline:   c.arrived.Add(c.index.deployment.deadline(body.DeadlineMillis)),
	}
	c.req.Versions = func() []string { return c.srv.current.Load().allowedVersions[body.Model] }
	var tokens [8]byte
	binary.LittleEndian.PutUint64(tokens[:], uint64(body.MaxTokens))
	sum := contentHash(c.customer.name, []byte("model"), []byte(body.Model), []byte(body.Adapter), []byte(body.Prompt), tokens[:])
	copy(c.hash[:], sum)
	return c.readKey(body.Key)
}

// readServiceCall is the readFunc of calls to plain services.
func readServiceCall(c *call) *problem {
	raw, prob := readBody(c.w, c.r)
	if prob != nil {
		return prob
	}
	body, prob := decodeService(raw)
	if prob != nil {
		return prob
	}
	name := chi.URLParam(c.r, "name")
	c.req = &dispatch.Request{
		HostPool:   serviceLane + name,
		Service:    name,
		Body:       body.Body,
		Repeatable: body.Repeatable && c.index.deployment.callsRepeatable(name),
		Deadline:   c.arrived.Add(c.index.deployment.deadline(body.DeadlineMillis)),
	}
	c.req.Versions = func() []string { return []string{""} }
	copy(c.hash[:], contentHash(c.customer.name, []byte("service"), []byte(name), body.Body))
	return c.readKey(body.Key)
}

// callsRepeatable reports whether calls to the service's endpoint may be repeated.
// A call is repeatable only if both the endpoint's class and the caller allow it.
func (d *deployment) callsRepeatable(service string) bool {
	return d.classes[d.services[service].GetEndpoint()].GetCallsRepeatable()
}

// readKey sets the once key of a request that is not repeatable. Repeatable
// requests need none.
func (c *call) readKey(text string) *problem {
	if c.req.Repeatable {
		return nil
	}
	key, given, prob := parseKey(c.r, text)
	c.key, c.hasKey = key, given
	return prob
}

// authorizeModel checks that the model and the adapter exist and that the customer
// may use the model.
func authorizeModel(c *call) *problem {
	model := c.index.deployment.models[c.req.Model]
	switch {
	case model == nil:
		return notFound("model " + c.req.Model)
	case !allows(model.GetCustomers(), c.customer.name):
		return forbidden("model")
	case c.req.Adapter == "":
		return nil
	}
	for _, adapter := range model.GetAdapters() {
		if adapter.GetName() == c.req.Adapter {
			return nil
		}
	}
	return notFound("adapter " + c.req.Adapter)
}

// authorizeService checks that the service exists and that the customer may use it.
func authorizeService(c *call) *problem {
	service := c.index.deployment.services[c.req.Service]
	switch {
	case service == nil:
		return notFound("service " + c.req.Service)
	case !allows(service.GetCustomers(), c.customer.name):
		return forbidden("service")
	}
	return nil
}

func notFound(what string) *problem {
	return notRun(http.StatusBadRequest, failure.New(failure.NotFound, "there is no "+what,
		"use a name from the document in force, or ask an operator"))
}
