package batch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"time"

	"mulberryscale.example/internal/pause"
	"mulberryscale.example/store"
	"mulberryscale.example/transport/codec"
)

// The items of a large job are stored in objects before the transaction that accepts the
// job. An upload groups these objects:
//
//	batch_uploads   name job ID: the upload, until the job is accepted or the upload abandoned
//
// Each attempt to submit the job joins the upload that its row describes. An object is named
// after the upload and a digest of its content, so that a name that is taken means that the
// same bytes are stored, whichever process stored them. The transaction that accepts the job
// lists the names in the job, deletes the row of the upload, and requires that the row has not
// changed. So an upload that was abandoned is never referred to, and its objects can be
// deleted at any time.
const tableUploads = "batch_uploads"

const (
	// objectPrefix is the prefix of the names of all objects that hold items.
	objectPrefix = "job-items-"
	// digestBytes is how much of a digest the name of an object contains.
	digestBytes = 16
)

// errAccepted is returned by joinUpload if the job has been accepted before.
var errAccepted = errors.New("batch: job accepted before")

// errAbandoned means that the upload was abandoned before the job was accepted.
var errAbandoned = fmt.Errorf("%w: the upload of the job was abandoned", store.ErrRefused)

// upload is the value of a row of tableUploads.
type upload struct {
	// Began is the store's clock when the upload began.
	Began time.Duration `cbor:"1,keyasint"`
	// Abandoned is the store's clock when the upload was abandoned; 0 if it was not.
	Abandoned time.Duration `cbor:"2,keyasint,omitempty"`
	// ID identifies an abandoned upload. The ID of any other is the version of its row.
	ID uint64 `cbor:"3,keyasint,omitempty"`
}

// uploadKey returns the key of the row that describes the upload of a job.
func uploadKey(jobID string) store.Key { return store.Key{Table: tableUploads, Name: jobID} }

// uploadPrefix returns the prefix of the names of an upload's objects. IDs of uploads are
// unique, so no two uploads of any jobs share it.
func uploadPrefix(id uint64) string { return fmt.Sprintf("%s%016x-", objectPrefix, id) }

// objectName returns the name of the object with the given content.
func objectName(uploadID uint64, content []byte) string {
	sum := sha256.Sum256(content)
	return uploadPrefix(uploadID) + hex.EncodeToString(sum[:digestBytes])
}

// submitObjects accepts a job whose items are stored in objects.
func (l *Ledger) submitObjects(ctx context.Context, job *Job, data []byte) error {
	id, err := l.joinUpload(ctx, job)
	if errors.Is(err, errAccepted) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("%w: begin the upload: %v", store.ErrRefused, err)
	}
	job.InObjects = true
	if err := l.putObjects(ctx, job, id, data); err != nil {
		return fmt.Errorf("%w: store the items: %v", store.ErrRefused, err)
	}
	return l.acceptUploaded(ctx, job, id)
}

// joinUpload begins the upload of a job's objects, or joins the one that another attempt has
// begun. It returns the ID of the upload, or errAccepted if the job has been accepted.
func (l *Ledger) joinUpload(ctx context.Context, job *Job) (id uint64, err error) {
	value, err := codec.Marshal(upload{Began: job.Accepted})
	if err != nil {
		return 0, fmt.Errorf("encode an upload: %w", err)
	}
	key := uploadKey(job.ID)
	for {
		began, err := l.commit(ctx, store.Tx{
			If:  []store.Condition{{Key: jobKey(job.ID)}, {Key: key}},
			Put: []store.Row{{Key: key, Value: value}},
		})
		if err == nil {
			return began.Version, nil
		}
		if !errors.Is(err, store.ErrConflict) {
			return 0, err
		}
		id, found, err := l.findUpload(ctx, job.ID)
		if found || errors.Is(err, errAccepted) || errors.Is(err, errAbandoned) {
			return id, err
		}
		if pause.Sleep(ctx, writeRetryPause) != nil {
			return 0, context.Cause(ctx)
		}
	}
}

// findUpload returns the ID of the upload that another attempt has begun; found is false if there
// is none. Its error is errAccepted if the job has been accepted, errAbandoned, or that of the
// store.
func (l *Ledger) findUpload(ctx context.Context, jobID string) (id uint64, found bool, err error) {
	_, _, accepted, err := l.Job(ctx, jobID)
	if err != nil {
		return 0, false, err
	}
	if accepted {
		return 0, false, errAccepted
	}
	rows, err := l.Store.List(ctx, store.Range{Table: tableUploads, From: jobID, To: jobID + "\x00"})
	if err != nil || len(rows.Rows) == 0 {
		return 0, false, err
	}
	id, err = liveUpload(rows.Rows[0])
	return id, err == nil, err
}

// liveUpload returns the ID of the upload that a row describes, or errAbandoned.
func liveUpload(row store.Row) (id uint64, err error) {
	u, err := decodeUpload(row)
	if err != nil {
		return 0, err
	}
	if u.Abandoned > 0 {
		return 0, errAbandoned
	}
	return row.Version, nil
}

func decodeUpload(row store.Row) (upload, error) {
	var u upload
	if err := codec.Unmarshal(row.Value, &u); err != nil {
		return upload{}, fmt.Errorf("upload of job %s: %w", row.Name, err)
	}
	return u, nil
}

// putObjects stores the encoded items of a job and lists the objects in the job.
func (l *Ledger) putObjects(ctx context.Context, job *Job, uploadID uint64, data []byte) error {
	for _, chunk := range splitBytes(data, l.ObjectBytes) {
		name := objectName(uploadID, chunk)
		if err := l.putObject(ctx, name, chunk); err != nil {
			return err
		}
		job.Objects = append(job.Objects, name)
	}
	job.Chunks = len(job.Objects)
	return nil
}

// putObject stores an object whose name depends on its content. A name that is taken holds the
// same content, so the outcome of an attempt may stay unknown before the next one.
func (l *Ledger) putObject(ctx context.Context, name string, content []byte) error {
	for {
		err := l.Store.PutObject(ctx, name, content)
		if err == nil || errors.Is(err, store.ErrConflict) {
			return nil
		}
		if errors.Is(err, store.ErrInvalid) || pause.Sleep(ctx, writeRetryPause) != nil {
			return err
		}
	}
}

// acceptUploaded accepts a job whose objects are stored.
func (l *Ledger) acceptUploaded(ctx context.Context, job *Job, uploadID uint64) error {
	head, err := codec.Marshal(job)
	if err != nil {
		return fmt.Errorf("%w: encode a job: %v", store.ErrInvalid, err)
	}
	key := uploadKey(job.ID)
	_, err = l.commit(ctx, store.Tx{
		If:     []store.Condition{{Key: jobKey(job.ID)}, {Key: key, Version: uploadID}},
		Put:    []store.Row{{Key: jobKey(job.ID), Value: head}},
		Delete: []store.Key{key},
	})
	if errors.Is(err, store.ErrConflict) {
		return l.confirmAccepted(ctx, job.ID)
	}
	return err
}

// confirmAccepted returns nil if the job has been accepted by any attempt. Otherwise its upload was
// abandoned, and no attempt with that upload can accept it anymore.
func (l *Ledger) confirmAccepted(ctx context.Context, jobID string) error {
	for {
		_, _, found, err := l.Job(ctx, jobID)
		if found {
			return nil
		}
		if err == nil {
			return errAbandoned
		}
		if pause.Sleep(ctx, writeRetryPause) != nil {
			return fmt.Errorf("%w: %v", store.ErrUnknown, err)
		}
	}
}

// objects reads the encoded items of a job from its objects.
func (l *Ledger) objects(ctx context.Context, job *Job) ([]byte, error) {
	var data []byte
	for _, name := range job.objectNames() {
		chunk, err := l.Store.GetObject(ctx, name)
		if err != nil {
			return nil, fmt.Errorf("object %s: %w", name, err)
		}
		data = append(data, chunk...)
	}
	return data, nil
}

// objectNames returns the names of the objects that hold the job's items. Earlier versions did
// not list them in the job but numbered them.
func (j *Job) objectNames() []string {
	if len(j.Objects) > 0 {
		return j.Objects
	}
	names := make([]string, j.Chunks)
	for i := range names {
		names[i] = fmt.Sprintf("items-%s-%03d", j.ID, i)
	}
	return names
}

// removeObjects deletes the objects of a job, and those of attempts that took part in its upload
// but did not accept it.
func (l *Ledger) removeObjects(ctx context.Context, job *Job) error {
	if len(job.Objects) > 0 {
		prefix := job.Objects[0][:len(uploadPrefix(0))]
		return l.removeUpload(ctx, prefix)
	}
	for _, name := range job.objectNames() {
		if err := l.Store.DeleteObject(ctx, name); err != nil {
			return err
		}
	}
	return nil
}

// removeUpload deletes all objects whose names begin with the prefix of an upload.
func (l *Ledger) removeUpload(ctx context.Context, prefix string) error {
	names, err := l.Store.ListObjects(ctx, prefix)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := l.Store.DeleteObject(ctx, name); err != nil {
			return err
		}
	}
	return nil
}
