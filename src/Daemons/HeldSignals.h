#ifndef CICADAWIND_DAEMONS_HELDSIGNALS_H
#define CICADAWIND_DAEMONS_HELDSIGNALS_H

namespace cicadawind {

/// Holds the signals with which the platform stops a process or tells it of new
/// settings, until releaseSignals() is called. Their default action would end a
/// process that has not installed its handlers yet. To be called first in the
/// process, before another thread is started.
void holdSignals();

/// Delivers the signals that were held, and all later ones. To be called once
/// their handlers are installed.
void releaseSignals();

} // namespace cicadawind

#endif
