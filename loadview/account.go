package loadview

import (
	"maps"
	"slices"
	"sync"

	"mulberryscale.example/flowcontrol"
)

// maxClasses bounds the classes that a process counts for each service. Ranks and organisations
// come from the configuration, so the bound is not reached in ordinary use.
const maxClasses = 1024

// otherClass counts the requests of classes beyond maxClasses.
var otherClass = ClassKey{Rank: -1, Organisation: "other"}

// Account counts the requests of a process by service and class. A nil *Account counts nothing.
// It is safe for concurrent use.
type Account struct {
	mu        sync.Mutex
	byService map[string]map[ClassKey]*Class
}

// NewAccount returns an account without requests.
func NewAccount() *Account { return &Account{byService: map[string]map[ClassKey]*Class{}} }

// Request is a counted request, from its arrival to its end. A nil *Request counts nothing. It is
// used by one goroutine at a time.
type Request struct {
	account *Account
	class   *Class
	ended   bool
}

// Begin counts a request that has arrived. End must be called once for it.
func (a *Account) Begin(service string, key ClassKey) *Request {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	class := a.class(service, key)
	class.Asked++
	return &Request{account: a, class: class}
}

// class returns the counts of a class. The caller holds a.mu.
func (a *Account) class(service string, key ClassKey) *Class {
	classes := a.byService[service]
	if classes == nil {
		classes = map[ClassKey]*Class{}
		a.byService[service] = classes
	}
	if classes[key] == nil && len(classes) >= maxClasses {
		key = otherClass
	}
	if classes[key] == nil {
		classes[key] = &Class{ClassKey: key, Refused: map[string]uint64{}}
	}
	return classes[key]
}

// Wait counts the request as waiting for capacity until the returned function is called.
func (r *Request) Wait() (admitted func()) {
	if r == nil {
		return func() {}
	}
	r.update(func(c *Class) { c.Waiting++ })
	return func() { r.update(func(c *Class) { c.Waiting-- }) }
}

// Answered ends a request that got an answer.
func (r *Request) Answered(inTime bool) {
	r.end(func(c *Class) {
		if inTime {
			c.InTime++
			return
		}
		c.Late++
	})
}

// Refused ends a request that was not admitted.
func (r *Request) Refused(reason string) { r.end(func(c *Class) { c.Refused[reason]++ }) }

// Failed ends a request that got no answer for another reason.
func (r *Request) Failed() { r.end(func(c *Class) { c.Failed++ }) }

// end counts the end of a request; only the first one counts.
func (r *Request) end(count func(*Class)) {
	if r == nil || r.ended {
		return
	}
	r.ended = true
	r.update(count)
}

func (r *Request) update(change func(*Class)) {
	r.account.mu.Lock()
	defer r.account.mu.Unlock()
	change(r.class)
}

// Classes returns a copy of the classes of a service, in the order in which Load lists them.
func (a *Account) Classes(service string) []Class {
	if a == nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []Class
	for _, c := range a.byService[service] {
		copied := *c
		copied.Refused = maps.Clone(c.Refused)
		list = append(list, copied)
	}
	slices.SortFunc(list, compareClasses)
	return list
}

// Drop forgets the counts of a service that was removed.
func (a *Account) Drop(service string) {
	if a == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	delete(a.byService, service)
}

// ServiceOf returns the load of a service from the status of its gate and its classes.
func ServiceOf(name string, gate flowcontrol.Status, classes []Class) Service {
	s := Service{
		Name: name, Open: gate.Open, Waiting: gate.Waiting, WaitingBytes: gate.Bytes,
		Admitted: gate.Admitted, Queued: gate.Queued, Rate: gate.Rate, Classes: classes,
	}
	for _, w := range gate.Windows {
		s.Windows = append(s.Windows, Window{
			Endpoint: w.Endpoint.ID, StartedAt: w.Endpoint.StartedAt, Limit: w.Limit, Open: w.Open, Processes: 1,
		})
	}
	return s
}
