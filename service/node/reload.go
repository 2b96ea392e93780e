package node

import (
	"context"
	"os"
	"reflect"
	"time"

	"github.com/sirupsen/logrus"

	"mulberryscale.example/platform/nodefile"
)

// rereadInterval is how often the settings file is read without a signal.
const rereadInterval = 2 * time.Second

// Reload reads the settings at each hangup signal and at each rereadInterval, until ctx
// is cancelled. New addresses of the platform's services take effect at once. Settings
// that a running process cannot change, such as its own addresses, are logged and take
// effect at the next start. A file that cannot be read changes nothing.
func (b *base) Reload(ctx context.Context, hangups <-chan os.Signal, load func() (*nodefile.Settings, error)) {
	current := *b.settings
	ticker := time.NewTicker(rereadInterval)
	defer ticker.Stop()
	for {
		signalled := false
		select {
		case <-ctx.Done():
			return
		case <-hangups:
			signalled = true
		case <-ticker.C:
		}
		next, err := load()
		if err != nil {
			b.log.WithError(err).Error("settings not reloaded")
			continue
		}
		if reflect.DeepEqual(*next, current) {
			if signalled {
				b.log.Info("settings reloaded, nothing changed")
			}
			continue
		}
		b.log.WithFields(logrus.Fields{
			"signalled": signalled, "store": next.Store, "duties": next.Duties, "restart_needed": needsRestart(current, *next),
		}).Info("settings reloaded")
		b.store.SetAddr(next.Store)
		b.duties.SetAddr(next.Duties)
		current = *next
	}
}

// needsRestart reports whether a setting changed that takes effect only at the next start.
func needsRestart(old, next nodefile.Settings) bool {
	next.Store, next.Duties = old.Store, old.Duties
	return !reflect.DeepEqual(old, next)
}
