package batch

import "context"

// Body returns the request body of an item that has no result yet and whose job is open.
// Its error is ErrNoJob, ErrNoItem or one of the ledger.
func (r *Reader) Body(ctx context.Context, id, itemID string) ([]byte, error) {
	j := r.touch(id)
	if err := r.loadJob(ctx, id, j); err != nil {
		return nil, err
	}
	if err := r.loadItems(ctx, j); err != nil {
		return nil, err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	item, ok := j.items[itemID]
	if !ok {
		return nil, ErrNoItem
	}
	return item.Body, nil
}

// loadItems reads the items of a job unless they are known.
func (r *Reader) loadItems(ctx context.Context, j *cachedJob) error {
	j.loadMu.Lock()
	defer j.loadMu.Unlock()
	r.mu.Lock()
	job, known := j.job, j.items != nil
	r.mu.Unlock()
	if known {
		return nil
	}
	items, err := r.ledger.Items(ctx, job)
	if err != nil {
		return err
	}
	byID := make(map[string]Item, len(items))
	for _, item := range items {
		byID[item.ID] = item
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	j.items = byID
	return nil
}
