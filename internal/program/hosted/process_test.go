package hosted

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"github.com/chestnutbeam/chestnutbeam/platform"
)

// Guards against missing a change of the settings file that comes without a signal, and against replacing valid settings by
// those of a malformed or missing file.
func TestReload(t *testing.T) {
	const valid = `{"ip":"10.0.0.1","internalPorts":[7000],"platform":{"address":"10.0.9.1:70"}}`

	path := filepath.Join(t.TempDir(), "settings.json")
	write := func(text string) { assert.NilError(t, os.WriteFile(path, []byte(text), 0o600)) }

	t.Setenv(platform.SettingsVariable, path)
	write(valid)

	log, lines := test.NewNullLogger()
	p := &process{log: log}
	assert.NilError(t, p.load())
	assert.Equal(t, p.settings.Store, "10.0.9.1:70")

	var stores []string

	reload := func(signaled bool) {
		p.reloadOnce(signaled, func(settings platform.Settings) { stores = append(stores, settings.Store) })
	}

	reload(false)
	assert.Equal(t, len(stores), 0)

	reload(true)
	assert.DeepEqual(t, stores, []string{"10.0.9.1:70"})

	write(`{"ip":"10.0.0.1","internalPorts":[7000],"platform":{"address":"10.0.9.2:70"}}`)
	reload(false)
	assert.DeepEqual(t, stores, []string{"10.0.9.1:70", "10.0.9.2:70"})

	write("{")
	reload(false)
	assert.Equal(t, len(stores), 2)
	assert.Equal(t, lines.LastEntry().Level, logrus.ErrorLevel)

	assert.NilError(t, os.Remove(path))
	reload(false)
	assert.Equal(t, len(stores), 2)
}
