/// \file
/// Peers module: distribution of release notes and membership among daemons.
#ifndef CICADAWIND_PEERS_PEERS_H
#define CICADAWIND_PEERS_PEERS_H

#include "Peers/NoteStore.h"
#include "Peers/NoteSubmitter.h"
#include "Peers/PeerNode.h"

#endif
