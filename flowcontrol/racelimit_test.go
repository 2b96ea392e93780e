package flowcontrol

// The race detector and bubbles of testing/synctest need one processor; see racelimit.
import _ "mulberryscale.example/internal/racelimit"
