package evidence

import (
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// key names one cell of evidence.
type key struct {
	route, version, zone, team string
	loadLevel                  uint32
}

func keyOf(e *chicoryv1.VersionEvidence) key {
	return key{e.GetRoute(), e.GetVersion(), e.GetAvailabilityZone(), e.GetTeam(), e.GetLoadLevel()}
}

// Merge adds the counts of src to dst. The names in dst stay as they are.
func Merge(dst, src *chicoryv1.VersionEvidence) {
	dst.Requests += src.GetRequests()
	dst.Errors += src.GetErrors()
	dst.Crossed += src.GetCrossed()
	dst.Resumes += src.GetResumes()
	dst.FirstToken = mergeHistogram(dst.FirstToken, src.GetFirstToken())
	dst.TokenGap = mergeHistogram(dst.TokenGap, src.GetTokenGap())
	dst.CallLatency = mergeHistogram(dst.CallLatency, src.GetCallLatency())
}

// Clone returns a copy of e that shares nothing with it.
func Clone(e *chicoryv1.VersionEvidence) *chicoryv1.VersionEvidence {
	return proto.Clone(e).(*chicoryv1.VersionEvidence)
}
