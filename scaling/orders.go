package scaling

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/duty"
	"mulberryscale.example/fleet"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// Order wants a number of endpoints.
type Order struct {
	Target    Target `cbor:"1,keyasint"`
	Endpoints int    `cbor:"2,keyasint"`
	// At is the store's clock when it was decided.
	At time.Duration `cbor:"3,keyasint"`
}

// Scaler takes orders.
type Scaler interface {
	// Scale sends an order once, unless acting says at the moment of sending that it
	// may not be sent any more. nil means that it was accepted.
	Scale(ctx context.Context, f duty.Fence, acting func() bool, o *Order) error
}

// SubjectPrefix begins the subjects of orders, each of a service in an availability zone.
const SubjectPrefix = "scale/"

// Subject is the duty's subject of orders for a place.
func Subject(p Target) string { return SubjectPrefix + p.Service + "/" + p.Zone }

// decisionTime is between two decisions on a place.
const decisionTime = 3 * time.Second

// Orders is the duty.Work of the orders for one place: a piece is a moment at
// which it is decided. What was ordered stands in the store as the work of the
// last piece, since the platform does not tell it.
type Orders struct {
	Target Target
	Rows   store.Rows
	View   *fleet.View
	// Zones are the availability zones of all processes.
	Zones  []string
	Now    func() (time.Duration, bool)
	Scaler Scaler
	Log    logrus.FieldLogger

	policy Policy
	// stale are rows of processes that are gone, which Decide met.
	stale []store.Key
}

func pieceAt(at time.Time) uint64 { return uint64(at.UnixNano() / int64(decisionTime)) }

func dueOf(piece uint64) time.Time { return time.Unix(0, int64(piece)*int64(decisionTime)) }

// Next implements duty.Work: what was not decided in time is not decided any more.
func (o *Orders) Next(done uint64, _ bool) (uint64, time.Time) {
	piece := max(done+1, pieceAt(time.Now()))
	return piece, dueOf(piece)
}

// NextDue implements duty.Work.
func (o *Orders) NextDue(after time.Time) (uint64, time.Time) {
	piece := pieceAt(after) + 1
	return piece, dueOf(piece)
}

// Decide implements duty.Work.
func (o *Orders) Decide(ctx context.Context, _ uint64, last []byte) ([]byte, error) {
	var former Order
	if last != nil {
		if err := codec.Unmarshal(last, &former); err != nil {
			return nil, fmt.Errorf("the last order of %s in %s: %w", o.Target.Service, o.Target.Zone, err)
		}
	}
	now, ok := o.Now()
	snap := o.View.Snapshot()
	if !ok || snap.Config == nil || !snap.Listed {
		return nil, nil
	}
	service := snap.Config.Service(o.Target.Service)
	if service == nil || service.Autoscale == nil {
		return nil, nil
	}
	busy, heard, err := o.load(ctx, now)
	if err != nil {
		return nil, err
	}
	observed := Observed{BusySlots: busy}
	for _, i := range snap.OfService(o.Target.Service) {
		if i.Zone == o.Target.Zone {
			observed.Serving++
			observed.SlotsPerEndpoint = max(observed.SlotsPerEndpoint, i.Slots)
		}
	}
	if !heard && observed.Serving > 0 && former.Endpoints == 0 {
		return nil, nil // nobody has told of a load yet: what is there stays
	}
	want := o.policy.Decide(*service.Autoscale, observed, LastOrder{former.Endpoints, former.At}, now)
	if want == former.Endpoints || (former.Endpoints == 0 && want == observed.Serving) {
		return nil, nil
	}
	o.Log.WithFields(logrus.Fields{
		"service": o.Target.Service, "zone": o.Target.Zone, "busy": busy, "places": observed.SlotsPerEndpoint, "serving": observed.Serving,
		"former": former.Endpoints, "endpoints": want,
	}).Info("endpoints to be ordered")
	return codec.Marshal(Order{Target: o.Target, Endpoints: want, At: now})
}

// load sums what processes have written of the place; heard says that one did.
func (o *Orders) load(ctx context.Context, now time.Duration) (sum float64, heard bool, err error) {
	o.stale = nil
	for _, zone := range o.Zones {
		s, err := store.ListAll(ctx, o.Rows, store.Range{Table: TableLoads, Part: zone})
		if err != nil {
			return 0, false, fmt.Errorf("loads in %s: %w", zone, err)
		}
		for _, row := range s.Rows {
			var l load
			if err := codec.Unmarshal(row.Value, &l); err != nil {
				return 0, false, fmt.Errorf("row %s of %s: %w", row.Name, TableLoads, err)
			}
			switch age := now - l.At; {
			case age > forgetTime:
				o.stale = append(o.stale, row.Key)
			case age <= freshTime:
				heard = true
				sum += l.of(o.Target)
			}
		}
	}
	return sum, heard, nil
}

func (l *load) of(p Target) float64 {
	for _, b := range l.Busy {
		if b.Target == p {
			return b.Slots
		}
	}
	return 0
}

// Send implements duty.Work.
func (o *Orders) Send(ctx context.Context, f duty.Fence, acting func() bool, work []byte) error {
	var order Order
	if err := codec.Unmarshal(work, &order); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	return o.Scaler.Scale(ctx, f, acting, &order)
}

// OnDone implements duty.Work: it removes the rows of processes that are gone.
func (o *Orders) OnDone(ctx context.Context, _ uint64) {
	for _, key := range o.stale {
		if _, err := o.Rows.Commit(ctx, store.Tx{Delete: []store.Key{key}}); err != nil {
			o.Log.WithError(err).WithField("row", key.Name).Warn("old load not removed")
			return
		}
	}
}
