package commander

import (
	"context"
	"encoding/json"

	"cardamomscale.example/cardamomscale/internal/config/specifier"
	"cardamomscale.example/cardamomscale/internal/platform/client"
)

// writeRecord writes the record of version c.version unless it exists. It is called
// before the version is replaced, so that a writer that got no response to its
// write finds its token in the history.
func (a *applier) writeRecord(ctx context.Context, c currentConfig) error {
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

// updateHistory records an accepted change of the version previous, and prunes old records if a
// multiple of pruneInterval lies between the versions, which grow in uneven steps. It ignores
// errors: the next change writes a missing record.
func (a *applier) updateHistory(ctx context.Context, previous uint64, c currentConfig) {
	if err := a.writeRecord(ctx, c); err != nil || c.version/pruneInterval == previous/pruneInterval {
		return
	}
	objects, err := a.store.List(ctx, specifier.HistoryPrefix)
	if err != nil {
		return
	}
	for len(objects) > maxRecords {
		if a.store.Delete(ctx, objects[0].Key, objects[0].Version) != nil {
			return
		}
		objects = objects[1:]
	}
}

// listRecords returns the records of past changes, oldest first.
func (a *applier) listRecords(ctx context.Context) ([]specifier.Record, error) {
	var objects []client.Object
	err := a.retry(ctx, func() error {
		var err error
		objects, err = a.store.List(ctx, specifier.HistoryPrefix)
		return err
	})
	if err != nil {
		return nil, platformError("read history", err)
	}
	records := make([]specifier.Record, 0, len(objects))
	for _, object := range objects {
		var r specifier.Record
		if err := json.Unmarshal(object.Value, &r); err != nil {
			return nil, newError("read history", KindFailure, err)
		}
		records = append(records, r)
	}
	return records, nil
}
