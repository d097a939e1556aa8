# Starts and stops a small copy of one customer's system on loopback: a fake platform, three databases
# with three instances each, and the daemons of seven VMs in three failure domains. Other scripts source
# this file.

# fleet_define NAME BASE_PORT REGION_A DOMAIN_A1 DOMAIN_A2 REGION_B DOMAIN_B DATABASE CONNECTIONS CONNECT_MS : sets the
# variables that the other functions use. CONNECTIONS is the limit on the connections of each instance, CONNECT_MS the time
# that it takes to open one.
fleet_define() {
  Fleet=$1 Base=$2 RegionA=$3 DomainA1=$4 DomainA2=$5 RegionB=$6 DomainB=$7 Database=$8
  Connections=$9 ConnectMs=${10}
  Dir=$FleetRoot/$Fleet
  mkdir -p "$Dir"
}

# fleet_users CUSTOMER [BASE_PORT] : defines the fleet of one customer.
fleet_users() {
  case $1 in
    cabrales) fleet_define cabrales "${2:-21000}" centro-sur oaxaca puebla bajio queretaro bodega 16 12 ;;
    sigurdsson) fleet_define sigurdsson "${2:-22000}" sudvestur sudvestur-a sudvestur-b nordur nordur-a saumur-db 30 27 ;;
    *) echo "unknown user $1" >&2; return 2 ;;
  esac
}

# Print the failure domain and region of the VM with the number 1..7, and of the instance with the letter a..c.
vm_domain() { case $1 in 1|2|3) echo "$DomainA1" ;; 4|5) echo "$DomainA2" ;; *) echo "$DomainB" ;; esac; }
vm_region() { case $1 in 6|7) echo "$RegionB" ;; *) echo "$RegionA" ;; esac; }
instance_domain() { case $1 in a) echo "$DomainA1" ;; b) echo "$DomainA2" ;; *) echo "$DomainB" ;; esac; }
instance_region() { case $1 in c) echo "$RegionB" ;; *) echo "$RegionA" ;; esac; }
caller_port() { echo $((Base + 100 + 10 * $1)); }
router_peer() { echo "127.0.0.1:$((Base + 101 + 10 * $1))"; }
pooler_peer() { echo "127.0.0.1:$((Base + 102 + 10 * $1))"; }
instance_port() { # DATABASE_NUMBER LETTER
  local Letter; Letter=$(printf '%d' "'$2")
  echo $((Base + 10 * $1 + Letter - 96))
}

# start_process NAME COMMAND... : runs the command in the background and writes its process id to $Dir/NAME.pid.
start_process() {
  local Name=$1; shift
  "$@" >"$Dir/$Name.out" 2>"$Dir/$Name.log" &
  echo $! >"$Dir/$Name.pid"
  disown $!
}

pid_of() { cat "$Dir/$1.pid"; }

write_settings() { # VM_NUMBER
  cat >"$Dir/vm-$1.toml" <<EOF
[daemon]
vm = "vm-$1"
failure_domain = "$(vm_domain "$1")"
region = "$(vm_region "$1")"
charts = "$Top/charts"
trace_file = "$Dir/vm-$1.spans"
[listen]
address = "127.0.0.1"
caller_port = $(caller_port "$1")
router_peer_port = $((Base + 101 + 10 * $1))
pooler_peer_port = $((Base + 102 + 10 * $1))
[platform]
address = "127.0.0.1:$Base"
[peers]
seeds = ["$(pooler_peer 1)", "$(pooler_peer 4)", "$(pooler_peer 6)"]
[keys]
session_key_files = ["$Dir/session.key"]
operator_key_file = "$Dir/operator.key"
peer_key_file = "$Dir/peer.key"
EOF
}

write_keys() {
  local Name
  for Name in session operator peer; do
    [ -s "$Dir/$Name.key" ] || od -An -N24 -tx1 /dev/urandom | tr -d ' \n' >"$Dir/$Name.key"
  done
}

write_note() {
  local Number Letter
  echo 'author = "demo"' >"$Dir/first-note.toml"
  for Number in 1 2 3; do
    printf '\n[[add.database]]\nname = "%s-%s"\nstaleness_allowance_ms = 5000\n' "$Database" "$Number"
  done >>"$Dir/first-note.toml"
  for Number in 1 2 3; do
    for Letter in a b c; do
      printf '\n[[add.target]]\ndatabase = "%s"\nname = "%s"\naddress = "127.0.0.1:%s"\nfailure_domain = "%s"\nregion = "%s"\nslots = 2\nconnections = %s\n' \
        "$Database-$Number" "$Database-$Number-$Letter" "$(instance_port "$Number" "$Letter")" \
        "$(instance_domain "$Letter")" "$(instance_region "$Letter")" "$Connections"
    done
  done >>"$Dir/first-note.toml"
}

vm_entry() { # VM_NUMBER STATE
  printf '{"vm":"vm-%s","failure_domain":"%s","region":"%s","router":"%s","pooler":"%s","state":"%s"}' \
    "$1" "$(vm_domain "$1")" "$(vm_region "$1")" "$(router_peer "$1")" "$(pooler_peer "$1")" "$2"
}

start_instance() { # DATABASE_NUMBER LETTER
  start_process "$Database-$1-$2" "$Bin/cicadawind-fake-database" --name="$Database-$1-$2" \
    --port="$(instance_port "$1" "$2")" --connections="$Connections" --connect_ms="$ConnectMs"
}

start_vm() { # VM_NUMBER
  start_process "vm-$1-pooler" "$Bin/cicadawind-pooler" --settings="$Dir/vm-$1.toml"
  start_process "vm-$1-router" "$Bin/cicadawind-router" --settings="$Dir/vm-$1.toml"
}

fleet_start() {
  local Number Letter Vm
  write_keys
  write_note
  start_process platform "$Bin/cicadawind-fake-platform" --port="$Base"
  for Number in 1 2 3; do
    for Letter in a b c; do start_instance "$Number" "$Letter"; done
  done
  wait_for 10 curl -sf "http://127.0.0.1:$Base/v1/counters" -o /dev/null
  for Vm in 1 2 3 4 5 6 7; do
    write_settings "$Vm"
    curl -sf -X PUT -d "$(vm_entry "$Vm" live)" "http://127.0.0.1:$Base/v1/vms/vm-$Vm" -o /dev/null
  done
  for Vm in 1 2 3 4 5 6 7; do start_vm "$Vm"; done
  for Vm in 1 2 3 4 5 6 7; do
    wait_for 20 curl -sf "http://$(pooler_peer "$Vm")/livez" -o /dev/null
    wait_for 20 curl -sf "http://$(router_peer "$Vm")/livez" -o /dev/null
  done
}

fleet_stop() {
  local File
  for File in "$Dir"/*.pid; do
    [ -e "$File" ] || continue
    kill -9 "$(cat "$File")" 2>/dev/null || true
    rm -f "$File"
  done
}

# wait_for SECONDS COMMAND... : repeats the command until it succeeds; fails after the given time.
wait_for() {
  local End=$(($(date +%s) + $1)); shift
  until "$@" 2>/dev/null; do
    [ "$(date +%s)" -lt "$End" ] || { echo "gave up waiting for: $*" >&2; return 1; }
    sleep 0.1
  done
}

ctl() { "$Bin/cicadawindctl" --daemon="$(pooler_peer 1),$(pooler_peer 4),$(pooler_peer 6)" \
  --operator_key_file="$Dir/operator.key" "$@"; }

# call VM PATH JSON : sends one request to the callers' interface of the VM.
call() { curl -s -m 30 -d "$3" "http://127.0.0.1:$(caller_port "$1")$2"; }

now_ms() { date +%s%3N; }
