package commander

import (
	"context"
	"encoding/json"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// record writes the record of a version, unless it is there already. It comes
// before the version is replaced, so that a writer whose answer was lost finds
// its token in the history.
func (a *applier) record(ctx context.Context, c current) error {
	if c.version == 0 {
		return nil
	}
	r := specifier.Record{Version: c.version, Change: c.Change}
	value, err := json.Marshal(r)
	if err != nil {
		return err
	}
	err = a.retry(ctx, func() error {
		_, err := a.store.Put(ctx, r.Key(), value, client.MustNotExist)
		return err
	})
	if platformKind(err) == client.KindConflict {
		return nil
	}
	return err
}

// keepHistory records an accepted change and now and then drops old records.
// Failures do no harm: the next change records what is missing.
func (a *applier) keepHistory(ctx context.Context, c current) {
	if err := a.record(ctx, c); err != nil || c.version%pruneInterval != 0 {
		return
	}
	objects, err := a.store.List(ctx, specifier.HistoryPrefix)
	if err != nil {
		return
	}
	for len(objects) > keptRecords {
		if a.store.Delete(ctx, objects[0].Key, objects[0].Version) != nil {
			return
		}
		objects = objects[1:]
	}
}

// history returns the records of past changes, the oldest one first.
func (a *applier) history(ctx context.Context) ([]specifier.Record, error) {
	var objects []client.Object
	err := a.retry(ctx, func() error {
		var err error
		objects, err = a.store.List(ctx, specifier.HistoryPrefix)
		return err
	})
	if err != nil {
		return nil, platformFailure("read history", err)
	}
	records := make([]specifier.Record, 0, len(objects))
	for _, object := range objects {
		var r specifier.Record
		if err := json.Unmarshal(object.Value, &r); err != nil {
			return nil, failure("read history", KindFailure, err)
		}
		records = append(records, r)
	}
	return records, nil
}
