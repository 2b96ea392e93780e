package forward

// The race detector and synctest bubbles need one processor.
import _ "mulberryscale.example/internal/racelimit"
