package admin

import (
	"net/http"
	"strconv"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/controlhttp"
	"github.com/ibispier/ibispier/telemetry"
)

// Signature is the request body of an approval or a rejection.
type Signature struct {
	Owner     string `json:"owner"`
	Signature string `json:"signature"` // base64
}

// operatorAPI holds the HTTP handlers of the operator API.
type operatorAPI struct{ control controlhttp.Control }

// ServeOperators adds the operator API. It must be called before Run.
func (d *Duty) ServeOperators(control controlhttp.Control) {
	o := &operatorAPI{control: control}
	d.mux.HandleFunc("GET /v1/status", o.status)
	d.mux.HandleFunc("GET /v1/alarms", o.alarms)
	d.mux.HandleFunc("GET /v1/config", o.config)
	d.mux.HandleFunc("GET /v1/proposals", o.proposals)
	d.mux.HandleFunc("POST /v1/proposals", o.propose)
	d.mux.HandleFunc("GET /v1/proposals/{id}", o.proposal)
	d.mux.HandleFunc("POST /v1/proposals/{id}/approve", func(w http.ResponseWriter, r *http.Request) { o.sign(w, r, false) })
	d.mux.HandleFunc("POST /v1/proposals/{id}/reject", func(w http.ResponseWriter, r *http.Request) { o.sign(w, r, true) })
	d.mux.HandleFunc("GET /v1/history", o.history)
	d.mux.HandleFunc("GET /v1/members", o.members)
	d.mux.HandleFunc("POST /v1/members/{action}", o.membership)
	d.mux.HandleFunc("POST /v1/snapshot", o.snapshot)
	d.mux.HandleFunc("GET /v1/quarantine", o.quarantine)
	d.mux.HandleFunc("DELETE /v1/quarantine/{kind}/{name}", o.release)
}

// ServeMetrics adds the metrics endpoint. It must be called before Run.
func (d *Duty) ServeMetrics(m *telemetry.Metrics) { d.mux.Handle("GET /metrics", m) }

func (o *operatorAPI) status(w http.ResponseWriter, r *http.Request) {
	controlhttp.Serve(w, r, o.control, controlapi.OpStatus, controlapi.Empty{}, new(controlapi.StatusResponse))
}

func (o *operatorAPI) alarms(w http.ResponseWriter, r *http.Request) {
	var status controlapi.StatusResponse
	if err := controlhttp.Do(r, o.control, controlapi.OpStatus, controlapi.Empty{}, &status); err != nil {
		controlhttp.WriteError(w, controlapi.OpStatus, err)
		return
	}
	alarms := status.Alarms
	if alarms == nil {
		alarms = []controlapi.Alarm{}
	}
	controlhttp.Write(w, http.StatusOK, map[string][]controlapi.Alarm{"alarms": alarms})
}

// config returns the accepted configuration. The request names no process, so
// control does not record the operator as a process at revision 0.
func (o *operatorAPI) config(w http.ResponseWriter, r *http.Request) {
	var config controlapi.ConfigResponse
	if err := controlhttp.Do(r, o.control, controlapi.OpConfig, controlapi.ConfigRequest{}, &config); err != nil {
		controlhttp.WriteError(w, controlapi.OpConfig, err)
		return
	}
	if config.Config.ZonesOut == nil {
		config.Config.ZonesOut = []string{}
	}
	controlhttp.Write(w, http.StatusOK, config.Config)
}

func (o *operatorAPI) proposals(w http.ResponseWriter, r *http.Request) {
	limit, err := limitOf(r)
	if err != nil {
		controlhttp.WriteError(w, controlapi.OpProposals, err)
		return
	}
	controlhttp.Serve(w, r, o.control, controlapi.OpProposals,
		controlapi.ProposalsRequest{Limit: limit}, new(controlapi.ProposalsResponse))
}

func (o *operatorAPI) proposal(w http.ResponseWriter, r *http.Request) {
	id := r.PathValue("id")
	var found controlapi.ProposalsResponse
	err := controlhttp.Do(r, o.control, controlapi.OpProposals, controlapi.ProposalsRequest{ChangeID: id}, &found)
	if err == nil && len(found.Proposals) == 0 {
		err = &controlapi.Error{Reason: controlapi.ReasonNotFound, Message: "no proposal with change id " + id}
	}
	if err != nil {
		controlhttp.WriteError(w, controlapi.OpProposals, err)
		return
	}
	controlhttp.Write(w, http.StatusOK, found.Proposals[0])
}

// history lists the decided proposals.
func (o *operatorAPI) history(w http.ResponseWriter, r *http.Request) {
	limit, err := limitOf(r)
	var found controlapi.ProposalsResponse
	if err == nil {
		err = controlhttp.Do(r, o.control, controlapi.OpProposals, controlapi.ProposalsRequest{}, &found)
	}
	if err != nil {
		controlhttp.WriteError(w, controlapi.OpProposals, err)
		return
	}
	decided := []controlapi.Proposal{}
	for _, p := range found.Proposals {
		if p.State != controlapi.ProposalOpen && (limit == 0 || len(decided) < limit) {
			decided = append(decided, p)
		}
	}
	controlhttp.Write(w, http.StatusOK, controlapi.ProposalsResponse{Proposals: decided})
}

func (o *operatorAPI) propose(w http.ResponseWriter, r *http.Request) {
	var in controlapi.ProposeRequest
	if err := controlhttp.Read(r, &in); err != nil {
		controlhttp.WriteError(w, controlapi.OpPropose, err)
		return
	}
	o.change(w, r, controlapi.OpPropose, in)
}

func (o *operatorAPI) sign(w http.ResponseWriter, r *http.Request, reject bool) {
	var in Signature
	if err := controlhttp.Read(r, &in); err != nil {
		controlhttp.WriteError(w, controlapi.OpSign, err)
		return
	}
	o.change(w, r, controlapi.OpSign, controlapi.SignRequest{
		ChangeID: r.PathValue("id"), Owner: in.Owner, Signature: in.Signature, Reject: reject,
	})
}

// change executes an operation on a proposal. If the proposal lost against another
// one, the response is an error that names the winner.
func (o *operatorAPI) change(w http.ResponseWriter, r *http.Request, op controlapi.Operation, in any) {
	var p controlapi.Proposal
	err := controlhttp.Do(r, o.control, op, in, &p)
	if err == nil && p.State == controlapi.ProposalConflict {
		err = &controlapi.Error{
			Reason:  controlapi.ReasonConflict,
			Message: "change " + p.ChangeID + " lost against change " + p.Winner + ", which has the same base revision " + strconv.FormatUint(p.Base, 10),
		}
	}
	if err != nil {
		controlhttp.WriteError(w, op, err)
		return
	}
	controlhttp.Write(w, http.StatusOK, p)
}

func (o *operatorAPI) members(w http.ResponseWriter, r *http.Request) {
	controlhttp.Serve(w, r, o.control, controlapi.OpMembers, controlapi.Empty{}, new(controlapi.MembersResponse))
}

func (o *operatorAPI) membership(w http.ResponseWriter, r *http.Request) {
	in := controlapi.MembershipRequest{}
	var err error
	if r.ContentLength != 0 {
		err = controlhttp.Read(r, &in)
	}
	in.Action = r.PathValue("action")
	if err == nil {
		err = checkMembership(in)
	}
	if err != nil {
		controlhttp.WriteError(w, controlapi.OpMembership, err)
		return
	}
	controlhttp.Serve(w, r, o.control, controlapi.OpMembership, in, new(controlapi.MembersResponse))
}

func checkMembership(in controlapi.MembershipRequest) error {
	switch in.Action {
	case "bootstrap":
		return nil
	case "admit", "remove", "transfer":
		if in.ID == "" {
			return &controlapi.Error{Reason: controlapi.ReasonBadRequest, Message: "id is missing"}
		}
		return nil
	default:
		return &controlapi.Error{Reason: controlapi.ReasonNotFound, Message: "unknown action " + in.Action}
	}
}

func (o *operatorAPI) snapshot(w http.ResponseWriter, r *http.Request) {
	controlhttp.Serve(w, r, o.control, controlapi.OpSnapshot, controlapi.Empty{}, new(controlapi.Empty))
}

func (o *operatorAPI) quarantine(w http.ResponseWriter, r *http.Request) {
	controlhttp.Serve(w, r, o.control, controlapi.OpQuarantine, controlapi.Empty{}, new(controlapi.QuarantineResponse))
}

func (o *operatorAPI) release(w http.ResponseWriter, r *http.Request) {
	in := controlapi.ReleaseRequest{Kind: r.PathValue("kind"), Name: r.PathValue("name")}
	if in.Kind != "job" && in.Kind != "worker" {
		controlhttp.WriteError(w, controlapi.OpRelease, &controlapi.Error{
			Reason: controlapi.ReasonBadRequest, Message: "kind must be job or worker",
		})
		return
	}
	controlhttp.Serve(w, r, o.control, controlapi.OpRelease, in, new(controlapi.Empty))
}

// limitOf parses the query parameter limit; 0 means no limit.
func limitOf(r *http.Request) (int, error) {
	text := r.URL.Query().Get("limit")
	if text == "" {
		return 0, nil
	}
	limit, err := strconv.Atoi(text)
	if err != nil || limit < 1 {
		return 0, &controlapi.Error{Reason: controlapi.ReasonBadRequest, Message: "limit must be a positive integer"}
	}
	return limit, nil
}
