package feed

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chicoryv1 "github.com/chicoryswitch/chicoryswitch/api/gen/chicory/v1"
)

func placeOf(prompt, engine string) *chicoryv1.PromptPlace {
	return &chicoryv1.PromptPlace{Prompt: prompt, Address: engine, Instance: engine}
}

func TestBoardSumsUpAllButOne(t *testing.T) {
	b, now := NewBoard(), time.Now()
	share := func(entry string, tokens uint32) {
		b.Put(&chicoryv1.ShareRequest{
			EntryId: entry,
			Loads:   []*chicoryv1.EngineLoad{{Address: "e1", Tokens: tokens, Unread: 1}},
			Uses:    []*chicoryv1.ServiceUse{{Service: "s", Requests: 10, FurtherAttempts: 1}},
		}, now)
	}
	share("a", 100)
	share("b", 20)
	share("b", 30)
	share("c", 1)
	o, _ := b.Others("a", 0, now)
	assert.Equal(t, o.Entries, 3)
	assert.Equal(t, o.Loads[0].GetTokens(), uint32(31))
	assert.Equal(t, o.Uses[0].GetFurtherAttempts(), uint32(2))
	o, _ = b.Others("a", 0, now.Add(loadLifetime+time.Second))
	assert.Equal(t, o.Loads[0].GetTokens()+uint32(o.Entries), uint32(0), "an entry VM that is gone counts no longer")
}

func TestPlacesAreToldOnceAndInOrder(t *testing.T) {
	b := NewBoard()
	b.AddPlaces([]*chicoryv1.PromptPlace{placeOf("p", "e1"), placeOf("q", "e2")})
	places, after := b.PlacesSince(0)
	assert.Equal(t, len(places), 2)
	b.AddPlaces([]*chicoryv1.PromptPlace{placeOf("p", "e1")})
	places, again := b.PlacesSince(after)
	assert.Equal(t, len(places), 0, "what is known is not told again")
	assert.Equal(t, again, after)
	all, _ := b.PlacesSince(0)
	assert.Equal(t, len(all), 2, "nor kept twice")
	b.AddPlaces([]*chicoryv1.PromptPlace{placeOf("p", "e3")})
	places, _ = b.PlacesSince(after)
	assert.Equal(t, places[0].GetAddress(), "e3")
}

func TestOldPlacesYield(t *testing.T) {
	b := NewBoard()
	for i := range 3 * placesKept {
		b.AddPlaces([]*chicoryv1.PromptPlace{placeOf(fmt.Sprint(i), "e")})
	}
	places, after := b.PlacesSince(0)
	assert.Equal(t, len(places), placesKept)
	assert.Equal(t, after, uint64(3*placesKept))
	assert.Equal(t, len(b.newest), placesKept)
}
