package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

func newLocation(prompt, engine string) *chicoryv1.PromptPlace {
	return &chicoryv1.PromptPlace{Prompt: prompt, Address: engine, Instance: engine}
}

func TestRemoteStateExcludesOneEntryVM(t *testing.T) {
	b, now := NewSharedState(), time.Now()
	share := func(entry string, tokens uint32) {
		b.Update(&chicoryv1.ShareRequest{
			EntryId: entry,
			Loads:   []*chicoryv1.EngineLoad{{Address: "e1", Tokens: tokens, Unread: 1}},
			Uses:    []*chicoryv1.ServiceUse{{Service: "s", Requests: 10, FurtherAttempts: 1}},
		}, now)
	}
	share("a", 100)
	share("b", 20)
	share("b", 30)
	share("c", 1)
	o, _ := b.RemoteState("a", 0, now)
	assert.Equal(t, o.EntryVMs, 3)
	assert.Equal(t, o.Loads[0].GetTokens(), uint32(31))
	assert.Equal(t, o.Uses[0].GetFurtherAttempts(), uint32(2))
	o, _ = b.RemoteState("a", 0, now.Add(loadLifetime+time.Second))
	assert.Equal(t, o.Loads[0].GetTokens()+uint32(o.EntryVMs), uint32(0), "an entry VM that stopped sharing is not counted")
}

func TestPromptLocationsAreReturnedOnceAndInOrder(t *testing.T) {
	b := NewSharedState()
	b.AddPromptLocations([]*chicoryv1.PromptPlace{newLocation("p", "e1"), newLocation("q", "e2")})
	locations, after := b.PromptLocationsSince(0)
	assert.Equal(t, len(locations), 2)
	b.AddPromptLocations([]*chicoryv1.PromptPlace{newLocation("p", "e1")})
	locations, again := b.PromptLocationsSince(after)
	assert.Equal(t, len(locations), 0, "a known location is not returned again")
	assert.Equal(t, again, after)
	all, _ := b.PromptLocationsSince(0)
	assert.Equal(t, len(all), 2, "a known location is not stored twice")
	b.AddPromptLocations([]*chicoryv1.PromptPlace{newLocation("p", "e3")})
	locations, _ = b.PromptLocationsSince(after)
	assert.Equal(t, locations[0].GetAddress(), "e3")
}

func TestOldestPromptLocationsAreRemoved(t *testing.T) {
	b := NewSharedState()
	for i := range 3 * maxLocations {
		b.AddPromptLocations([]*chicoryv1.PromptPlace{newLocation(fmt.Sprint(i), "e")})
	}
	locations, after := b.PromptLocationsSince(0)
	assert.Equal(t, len(locations), maxLocations)
	assert.Equal(t, after, uint64(3*maxLocations))
	assert.Equal(t, len(b.byPrompt), maxLocations)
}
