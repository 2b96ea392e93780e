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

// Order sets the number of endpoints of a target.
type Order struct {
	Target    Target `cbor:"1,keyasint"`
	Endpoints int    `cbor:"2,keyasint"`
	// At is when the order was decided, by the store's clock.
	At time.Duration `cbor:"3,keyasint"`
}

// Scaler accepts orders.
type Scaler interface {
	// Scale sends an order once, without retries, and only if maySend still returns true
	// immediately before that. It returns nil if the order was accepted.
	Scale(ctx context.Context, f duty.Fence, maySend func() bool, o *Order) error
}

// SubjectPrefix is the prefix of the subjects of orders, one for each target.
const SubjectPrefix = "scale/"

// Subject returns the subject of the duty that orders the endpoints of a target.
func Subject(p Target) string { return SubjectPrefix + p.Service + "/" + p.Zone }

// decisionInterval is the time between two decisions on a target.
const decisionInterval = 3 * time.Second

// Orders is the duty.Work that orders endpoints for one target. A piece is one scheduled
// decision. The last order is kept in the store as the work of the last piece, since the
// platform does not report it.
type Orders struct {
	Target Target
	Rows   store.Rows
	View   *fleet.View
	// Zones lists the availability zones of all processes.
	Zones  []string
	Now    func() (time.Duration, bool)
	Scaler Scaler
	Log    logrus.FieldLogger

	policy Policy
	// staleRows are the keys of rows of stopped processes that Decide found.
	staleRows []store.Key
}

func pieceAt(at time.Time) uint64 { return uint64(at.UnixNano() / int64(decisionInterval)) }

func dueOf(piece uint64) time.Time { return time.Unix(0, int64(piece)*int64(decisionInterval)) }

// Next implements duty.Work. It skips pieces that were not decided in time.
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
	var previous Order
	if last != nil {
		if err := codec.Unmarshal(last, &previous); err != nil {
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
	busy, known, err := o.sumLoads(ctx, now)
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
	if !known && observed.Serving > 0 && previous.Endpoints == 0 {
		return nil, nil // no load is known yet: keep the existing endpoints
	}
	want := o.policy.Decide(*service.Autoscale, observed, LastOrder{previous.Endpoints, previous.At}, now)
	if want == previous.Endpoints || (previous.Endpoints == 0 && want == observed.Serving) {
		return nil, nil
	}
	o.Log.WithFields(logrus.Fields{
		"service": o.Target.Service, "zone": o.Target.Zone, "busy": busy, "places": observed.SlotsPerEndpoint, "serving": observed.Serving,
		"former": previous.Endpoints, "endpoints": want,
	}).Info("endpoints to be ordered")
	return codec.Marshal(Order{Target: o.Target, Endpoints: want, At: now})
}

// sumLoads sums the loads that processes have written for the target. known is false if
// no process has written a load within maxLoadAge.
func (o *Orders) sumLoads(ctx context.Context, now time.Duration) (sum float64, known bool, err error) {
	o.staleRows = nil
	for _, zone := range o.Zones {
		s, err := store.ListAll(ctx, o.Rows, store.Range{Table: TableLoads, Part: zone})
		if err != nil {
			return 0, false, fmt.Errorf("loads in %s: %w", zone, err)
		}
		for _, row := range s.Rows {
			var l loadRow
			if err := codec.Unmarshal(row.Value, &l); err != nil {
				return 0, false, fmt.Errorf("row %s of %s: %w", row.Name, TableLoads, err)
			}
			switch age := now - l.At; {
			case age > removeLoadAge:
				o.staleRows = append(o.staleRows, row.Key)
			case age <= maxLoadAge:
				known = true
				sum += l.slotsOf(o.Target)
			}
		}
	}
	return sum, known, nil
}

func (l *loadRow) slotsOf(p Target) float64 {
	for _, b := range l.Busy {
		if b.Target == p {
			return b.Slots
		}
	}
	return 0
}

// Send implements duty.Work.
func (o *Orders) Send(ctx context.Context, f duty.Fence, maySend func() bool, work []byte) error {
	var order Order
	if err := codec.Unmarshal(work, &order); err != nil {
		return fmt.Errorf("order: %w", err)
	}
	return o.Scaler.Scale(ctx, f, maySend, &order)
}

// OnDone implements duty.Work. It deletes the rows of stopped processes.
func (o *Orders) OnDone(ctx context.Context, _ uint64) {
	for _, key := range o.staleRows {
		if _, err := o.Rows.Commit(ctx, store.Tx{Delete: []store.Key{key}}); err != nil {
			o.Log.WithError(err).WithField("row", key.Name).Warn("old load not removed")
			return
		}
	}
}
