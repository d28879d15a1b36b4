package server

import (
	"encoding/json"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
)

// bodies gives the request type of each operation.
var bodies = map[controlapi.Operation]func() any{
	controlapi.OpClaim:      body[controlapi.ClaimRequest],
	controlapi.OpLookup:     body[controlapi.LookupRequest],
	controlapi.OpResolve:    body[controlapi.ResolveRequest],
	controlapi.OpPermit:     body[controlapi.PermitRequest],
	controlapi.OpConfig:     body[controlapi.ConfigRequest],
	controlapi.OpPropose:    body[controlapi.ProposeRequest],
	controlapi.OpSign:       body[controlapi.SignRequest],
	controlapi.OpProposals:  body[controlapi.ProposalsRequest],
	controlapi.OpSubmit:     body[controlapi.Task],
	controlapi.OpTask:       body[controlapi.TaskQuery],
	controlapi.OpTasks:      body[controlapi.TasksQuery],
	controlapi.OpCancelTask: body[controlapi.TaskQuery],
	controlapi.OpReport:     body[controlapi.AgentReport],
	controlapi.OpAnnounced:  body[controlapi.AnnouncedRequest],
	controlapi.OpStatus:     body[controlapi.Empty],
	controlapi.OpQuarantine: body[controlapi.Empty],
	controlapi.OpRelease:    body[controlapi.ReleaseRequest],
	controlapi.OpMembers:    body[controlapi.Empty],
	controlapi.OpMembership: body[controlapi.MembershipRequest],
	controlapi.OpSnapshot:   body[controlapi.Empty],

	controlapi.OpJobSubmit:    body[controlapi.JobSubmitRequest],
	controlapi.OpJobStatus:    body[controlapi.JobQuery],
	controlapi.OpJobCancel:    body[controlapi.JobQuery],
	controlapi.OpJobWaiting:   body[controlapi.JobQuery],
	controlapi.OpManifest:     body[controlapi.ManifestRequest],
	controlapi.OpManifestRead: body[controlapi.Empty],
	controlapi.OpZone:         body[job.ZoneChange],
	controlapi.OpTarget:       body[controlapi.TargetReport],
}

func body[T any]() any { return new(T) }

// decode returns a pointer to the request type of an operation.
func decode(op controlapi.Operation, payload []byte) (any, error) {
	create := bodies[op]
	if create == nil {
		return nil, Error.New("unknown operation %q", op)
	}
	b := create()
	if len(payload) == 0 {
		return b, nil
	}
	if err := json.Unmarshal(payload, b); err != nil {
		return nil, Error.Wrap(err)
	}
	return b, nil
}
