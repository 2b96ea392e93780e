package e2e

import (
	"fmt"
	"hash/fnv"
	"io"
	"strconv"
	"strings"
	"time"
)

// What engines answer follows from the ids of requests, so that callers know it.

// Kinds of items, by a hash of their ids.
const (
	itemWhole = iota
	itemImpossible
	itemFailing
	itemFailsOnce
)

func hashOf(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64()
}

func kindOf(id string) int {
	if !strings.HasPrefix(id, "item-") {
		return itemWhole
	}
	switch hashOf(id) % 30 {
	case 0:
		return itemImpossible
	case 1:
		return itemFailing
	case 2, 3:
		return itemFailsOnce
	}
	return itemWhole
}

// Kinds of reward calls, by a hash of their ids.
const (
	rewardScores = iota
	rewardFailing
	rewardFailsOnce
	rewardLostOnce
	rewardSlow
)

// rewardPrefix begins the ids of reward calls; the item's id follows.
const rewardPrefix = "reward-"

// hasReward says whether an item bears a reward call: two of three do.
func hasReward(item string) bool { return hashOf(item)%3 != 0 }

func rewardOf(item string) string { return rewardPrefix + item }

func rewardKindOf(id string) int {
	switch hashOf(id) % 40 {
	case 0:
		return rewardFailing
	case 1, 2:
		return rewardFailsOnce
	case 3, 4:
		return rewardLostOnce
	case 5, 6:
		return rewardSlow
	}
	return rewardScores
}

// workOf is how long a request that is no stream takes.
func workOf(id string) time.Duration { return time.Duration(5+hashOf(id)%200) * time.Millisecond }

// losesAnswer says whether the engine breaks off once it has run a request.
func losesAnswer(id string) bool { return hashOf(id)%40 == 7 }

// bodyOf is the body of a request or an item.
func bodyOf(id string) string { return "body of " + id }

// isStamp says whether a text is some instance's signature of a request.
func isStamp(text, request string) bool {
	instance, _, found := strings.Cut(text, "/")
	return found && text == stampOf(instance, request)
}

// eventsOf is how many events a text has, eventOf one of them.
func eventsOf(id string) int { return 8 + int(hashOf(id)%25) }
func eventOf(id string, n int) string {
	return fmt.Sprintf("%s.%d.%x", id, n, hashOf(id+strconv.Itoa(n))%0xffff)
}

// textOf is a whole text as a result holds it.
func textOf(id string) string {
	var events []string
	for n := 1; n <= eventsOf(id); n++ {
		events = append(events, eventOf(id, n))
	}
	return strings.Join(events, "\n")
}

func answerOf(request, body string) string { return "answer to " + request + " about " + body }
func stampOf(instance, request string) string {
	return fmt.Sprintf("%s/%x", instance, hashOf(instance+request))
}
