package e2e

import (
	"fmt"
	"hash/fnv"
	"io"
	"strconv"
	"strings"
	"time"
)

// Engines derive their answers from request ids, so that callers can compute the expected ones.

// Kinds of items, chosen by a hash of their ids.
const (
	itemSucceeds = iota
	itemImpossible
	itemAlwaysFails
	itemFailsOnce
)

func hashOf(id string) uint64 {
	h := fnv.New64a()
	io.WriteString(h, id)
	return h.Sum64()
}

func kindOf(id string) int {
	if !strings.HasPrefix(id, "item-") {
		return itemSucceeds
	}
	switch hashOf(id) % 30 {
	case 0:
		return itemImpossible
	case 1:
		return itemAlwaysFails
	case 2, 3:
		return itemFailsOnce
	}
	return itemSucceeds
}

// Kinds of reward calls, chosen by a hash of their ids.
const (
	rewardSucceeds = iota
	rewardAlwaysFails
	rewardFailsOnce
	rewardAbortsOnce
	rewardSlow
)

// rewardPrefix is the prefix of reward call ids; the item's id follows.
const rewardPrefix = "reward-"

// hasRewardCall reports whether an item has a reward call: two of three do.
func hasRewardCall(item string) bool { return hashOf(item)%3 != 0 }

func rewardIDOf(item string) string { return rewardPrefix + item }

func rewardKindOf(id string) int {
	switch hashOf(id) % 40 {
	case 0:
		return rewardAlwaysFails
	case 1, 2:
		return rewardFailsOnce
	case 3, 4:
		return rewardAbortsOnce
	case 5, 6:
		return rewardSlow
	}
	return rewardSucceeds
}

// durationOf returns how long a request without a stream runs.
func durationOf(id string) time.Duration {
	if d, ok := longDuration(id); ok {
		return d
	}
	return time.Duration(5+hashOf(id)%200) * time.Millisecond
}

// abortsAnswer reports whether the engine aborts the response after it has run a request.
func abortsAnswer(id string) bool { return hashOf(id)%40 == 7 }

// bodyOf returns the body of a request or an item.
func bodyOf(id string) string {
	if strings.HasPrefix(id, largeItemPrefix) {
		return strings.Repeat("body of "+id+" ", largeBodyRepeats)
	}
	return "body of " + id
}

// Items of large jobs have these ids. largeBodyRepeats makes a job too large for rows of the store.
const (
	largeItemPrefix  = "item-large-"
	largeBodyRepeats = 1000
)

// isSignature reports whether a text is an instance's signature of a request.
func isSignature(text, request string) bool {
	instance, _, found := strings.Cut(text, "/")
	return found && text == signatureOf(instance, request)
}

// eventCountOf returns the number of events of a text, eventOf the event number n.
func eventCountOf(id string) int {
	if d, ok := longDuration(id); ok {
		return max(1, int(d/soakEventInterval))
	}
	return 8 + int(hashOf(id)%25)
}
func eventOf(id string, n int) string {
	return fmt.Sprintf("%s.%d.%x", id, n, hashOf(id+strconv.Itoa(n))%0xffff)
}

// textOf returns the whole text, as a result holds it.
func textOf(id string) string {
	var events []string
	for n := 1; n <= eventCountOf(id); n++ {
		events = append(events, eventOf(id, n))
	}
	return strings.Join(events, "\n")
}

func answerOf(request, body string) string { return "answer to " + request + " about " + body }
func signatureOf(instance, request string) string {
	return fmt.Sprintf("%s/%x", instance, hashOf(instance+request))
}
