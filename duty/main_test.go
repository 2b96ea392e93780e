package duty

import (
	// The race detector and bubbles of testing/synctest need one processor.
	_ "mulberryscale.example/internal/racelimit"
	_ "mulberryscale.example/internal/rapidseed" // the same draws in each run
)
