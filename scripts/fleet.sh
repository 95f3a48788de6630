# Functions that start a small system as separate processes; sourced by the other scripts.
cd "$(dirname "${BASH_SOURCE[0]}")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
declare -A pid
platform=""
seat=()
front=()
admin=()

cleanup() {
  kill -KILL "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  [ -n "${KEEP:-}" ] && echo "files are in $dir" || rm -rf "$dir"
}
trap cleanup EXIT

start() { # name command...
  local name=$1
  shift
  "$@" >"$dir/$name.log" 2>&1 &
  pid[$name]=$!
  pids+=($!)
}

fleet() { # scene
  "$bin/standin" layout "$dir" --scene "$1"
  while read -r kind a b c d; do
    case $kind in
      platform) platform=$a; start platform "$bin/standin" platform --listen "$a" ;;
      upstream) start "$a" "$bin/standin" upstream --listen "$b" --id "$a" --slots "$c" --time "$d" ;;
      entry) "$bin/boragelane" check "$dir/$a.json" >/dev/null
             start "$a" "$bin/boragelane" entry "$dir/$a.json"
             seat+=("$a"); front+=("$b"); admin+=("$c") ;;
    esac
  done <"$dir/processes"
  "$bin/standin" call POST "http://$platform/control/upstreams" --file "$dir/upstreams.json" --retry 5s
  for _ in $(seq 50); do
    "$bin/boragelane" admin --host "${admin[0]}" apply "$dir/change.json" >"$dir/applied" 2>"$dir/apply.err" && break
    sleep 0.1
  done
  for f in "${front[@]}"; do "$bin/standin" call GET "http://$f/v1/lookup" --retry 10s >/dev/null; done
  sleep 3
}
