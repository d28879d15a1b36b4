package server

import (
	"encoding/json"

	"github.com/ibispier/ibispier/controlapi"
	"github.com/ibispier/ibispier/job"
)

// newRequestBody allocates the request type of each operation.
var newRequestBody = map[controlapi.Operation]func() any{
	controlapi.OpClaim:      newBody[controlapi.ClaimRequest],
	controlapi.OpLookup:     newBody[controlapi.LookupRequest],
	controlapi.OpResolve:    newBody[controlapi.ResolveRequest],
	controlapi.OpPermit:     newBody[controlapi.PermitRequest],
	controlapi.OpConfig:     newBody[controlapi.ConfigRequest],
	controlapi.OpPropose:    newBody[controlapi.ProposeRequest],
	controlapi.OpSign:       newBody[controlapi.SignRequest],
	controlapi.OpProposals:  newBody[controlapi.ProposalsRequest],
	controlapi.OpSubmit:     newBody[controlapi.Task],
	controlapi.OpTask:       newBody[controlapi.TaskQuery],
	controlapi.OpTasks:      newBody[controlapi.TasksQuery],
	controlapi.OpCancelTask: newBody[controlapi.TaskQuery],
	controlapi.OpReport:     newBody[controlapi.AgentReport],
	controlapi.OpAnnounced:  newBody[controlapi.AnnouncedRequest],
	controlapi.OpStatus:     newBody[controlapi.Empty],
	controlapi.OpQuarantine: newBody[controlapi.Empty],
	controlapi.OpRelease:    newBody[controlapi.ReleaseRequest],
	controlapi.OpMembers:    newBody[controlapi.Empty],
	controlapi.OpMembership: newBody[controlapi.MembershipRequest],
	controlapi.OpSnapshot:   newBody[controlapi.Empty],

	controlapi.OpJobSubmit:    newBody[controlapi.JobSubmitRequest],
	controlapi.OpJobStatus:    newBody[controlapi.JobQuery],
	controlapi.OpJobCancel:    newBody[controlapi.JobQuery],
	controlapi.OpJobWaiting:   newBody[controlapi.JobQuery],
	controlapi.OpManifest:     newBody[controlapi.ManifestRequest],
	controlapi.OpManifestRead: newBody[controlapi.Empty],
	controlapi.OpZone:         newBody[job.ZoneChange],
	controlapi.OpTarget:       newBody[controlapi.TargetReport],
}

func newBody[T any]() any { return new(T) }

// decode decodes a payload and returns a pointer to the request type of the
// operation.
func decode(op controlapi.Operation, payload []byte) (any, error) {
	create := newRequestBody[op]
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
