// Package admin is the HTTP API for operators and monitoring on the admin port.
package admin

import (
	"context"
	"net/http"

	"github.com/zeromicro/go-zero/rest"
	"github.com/zeromicro/go-zero/rest/pathvar"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"github.com/citroncross/citroncross/citron"
	"github.com/citroncross/citroncross/citron/stats"
	schema "github.com/citroncross/citroncross/schema/admin"
	"github.com/citroncross/citroncross/schema/peer"
)

// Daemon is the daemon that the admin port reports on and controls.
type Daemon interface {
	// Ready reports whether the daemon accepts callers.
	Ready() bool
	// Status returns the state of the daemon.
	Status() *schema.Status
	// Explain returns why a job waits or where it ran.
	Explain(ctx context.Context, request *peer.RelayRequest) (*peer.RelayReply, *citron.Refusal)
	// Drain starts a graceful stop.
	Drain()
}

// Routes returns the routes of the admin port.
func Routes(d Daemon, set *stats.Set) []rest.Route {
	a := &handler{daemon: d, set: set}
	return []rest.Route{
		{Method: http.MethodGet, Path: "/healthz", Handler: a.health},
		{Method: http.MethodGet, Path: "/readyz", Handler: a.ready},
		{Method: http.MethodGet, Path: "/metrics", Handler: a.metrics},
		{Method: http.MethodGet, Path: "/v1/status", Handler: a.status},
		{Method: http.MethodGet, Path: "/v1/teams/:team/jobs/:id/explain", Handler: a.explain},
		{Method: http.MethodPost, Path: "/v1/drain", Handler: a.drain},
	}
}

type handler struct {
	daemon Daemon
	set    *stats.Set
}

func (a *handler) health(w http.ResponseWriter, _ *http.Request) {
	_, _ = w.Write([]byte("ok\n"))
}

func (a *handler) ready(w http.ResponseWriter, _ *http.Request) {
	if !a.daemon.Ready() {
		http.Error(w, "not ready", http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write([]byte("ready\n"))
}

func (a *handler) metrics(w http.ResponseWriter, _ *http.Request) {
	a.set.Write(w)
}

func (a *handler) status(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, a.daemon.Status())
}

func (a *handler) explain(w http.ResponseWriter, r *http.Request) {
	vars := pathvar.Vars(r)
	reply, refusal := a.daemon.Explain(r.Context(), &peer.RelayRequest{
		Verb:  peer.RelayVerb_RELAY_VERB_EXPLAIN,
		JobID: vars["team"] + "." + vars["id"],
	})
	if refusal != nil {
		http.Error(w, refusal.Reason, refusal.Status())
		return
	}
	writeJSON(w, &schema.Explanation{Lines: reply.GetLines()})
}

func (a *handler) drain(w http.ResponseWriter, _ *http.Request) {
	a.daemon.Drain()
	w.WriteHeader(http.StatusOK)
}

func writeJSON(w http.ResponseWriter, message proto.Message) {
	body, err := protojson.MarshalOptions{EmitUnpopulated: true}.Marshal(message)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(body)
}
