package capacity
