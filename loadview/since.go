package loadview

// Since returns the document with the counters since a former one of the same process. A process
// that has started in between has counted from its start, so its document is returned unchanged.
// Numbers that are no counters keep their present values.
func (d Document) Since(former Document) Document {
	if d.Incarnation != former.Incarnation {
		return d
	}
	before := map[string]Service{}
	for _, s := range former.Services {
		before[s.Name] = s
	}
	services := make([]Service, 0, len(d.Services))
	for _, s := range d.Services {
		services = append(services, s.since(before[s.Name]))
	}
	d.Services = services
	return d
}

func (s Service) since(former Service) Service {
	s.Admitted = difference(s.Admitted, former.Admitted)
	s.Queued = difference(s.Queued, former.Queued)
	before := map[ClassKey]Class{}
	for _, c := range former.Classes {
		before[c.ClassKey] = c
	}
	classes := make([]Class, 0, len(s.Classes))
	for _, c := range s.Classes {
		classes = append(classes, c.since(before[c.ClassKey]))
	}
	s.Classes = classes
	return s
}

func (c Class) since(former Class) Class {
	c.Asked = difference(c.Asked, former.Asked)
	c.InTime = difference(c.InTime, former.InTime)
	c.Late = difference(c.Late, former.Late)
	c.Failed = difference(c.Failed, former.Failed)
	refused := map[string]uint64{}
	for reason, n := range c.Refused {
		if recent := difference(n, former.Refused[reason]); recent > 0 {
			refused[reason] = recent
		}
	}
	c.Refused = refused
	return c
}

// difference returns now - before, or now if the counter has started anew: the gate of a service
// that was removed and came back counts from 0.
func difference(now, before uint64) uint64 {
	if now < before {
		return now
	}
	return now - before
}
