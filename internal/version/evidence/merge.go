package evidence

import (
	"google.golang.org/protobuf/proto"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

// key is the set of labels by which observations are counted.
type key struct {
	route, version, zone, team string
	loadLevel                  uint32
}

func keyOf(e *chicoryv1.VersionEvidence) key {
	return key{e.GetRoute(), e.GetVersion(), e.GetAvailabilityZone(), e.GetTeam(), e.GetLoadLevel()}
}

// Merge adds the counts of src to dst and leaves the labels of dst unchanged.
func Merge(dst, src *chicoryv1.VersionEvidence) {
	dst.Requests += src.GetRequests()
	dst.Errors += src.GetErrors()
	dst.Crossed += src.GetCrossed()
	dst.Resumes += src.GetResumes()
	dst.FirstToken = mergeHistogram(dst.FirstToken, src.GetFirstToken())
	dst.TokenGap = mergeHistogram(dst.TokenGap, src.GetTokenGap())
	dst.CallLatency = mergeHistogram(dst.CallLatency, src.GetCallLatency())
}

// Clone returns a deep copy of e.
func Clone(e *chicoryv1.VersionEvidence) *chicoryv1.VersionEvidence {
	return proto.Clone(e).(*chicoryv1.VersionEvidence)
}
