package telemetry

import "go.uber.org/zap/zapcore"

// errorMessageCore is a core that logs the message of an error without its stack
// trace. zap adds a second field with the stack trace for errors of zeebo/errs
// classes, which makes each line some hundred bytes longer.
type errorMessageCore struct{ zapcore.Core }

// With implements zapcore.Core.
func (c errorMessageCore) With(fields []zapcore.Field) zapcore.Core {
	return errorMessageCore{c.Core.With(errorsAsStrings(fields))}
}

// Check implements zapcore.Core.
func (c errorMessageCore) Check(e zapcore.Entry, checked *zapcore.CheckedEntry) *zapcore.CheckedEntry {
	if c.Enabled(e.Level) {
		return checked.AddCore(e, c)
	}
	return checked
}

// Write implements zapcore.Core.
func (c errorMessageCore) Write(e zapcore.Entry, fields []zapcore.Field) error {
	return c.Core.Write(e, errorsAsStrings(fields))
}

func errorsAsStrings(fields []zapcore.Field) []zapcore.Field {
	for i, f := range fields {
		if err, ok := f.Interface.(error); ok && f.Type == zapcore.ErrorType {
			fields[i] = zapcore.Field{Key: f.Key, Type: zapcore.StringType, String: err.Error()}
		}
	}
	return fields
}
