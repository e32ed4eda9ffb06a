#!/bin/sh
# Builds the platform's node and writes the path of every file outside the project that the build read or ran, one a
# line, with symbolic links resolved: used_files.sh SOURCE BUILD_FOLDER OUTPUT.
#
# Sources: the compiler's dependency files for headers, CMake's modules and package files, pkg-config's files, the
# linker's trace for libraries and objects, and for the tools CMake's cache, the compiler's own programs and flatc. The
# build is that of deploy/system.toml with CMake's default generator; only optimisation is off, which needs no other
# package. In a fresh clone, as in CI, the build is clean. A later run builds only changed files, but the dependency
# files still list all headers.
set -eu
source=$1
build=$2
output=$3

mkdir -p "$build"
env -u CMAKE_GENERATOR -u MAKEFLAGS cmake -S "$source" -B "$build" -DPLATFORM_ONLY=ON -DCMAKE_BUILD_TYPE=Debug \
  -DCMAKE_CXX_FLAGS_DEBUG=-O0 -DCMAKE_EXE_LINKER_FLAGS=-Wl,--trace > "$build/configure.log"
rm -f "$build/pipitspool-node"  # linked in each run, since the linker's trace is needed
env -u MAKEFLAGS cmake --build "$build" -j2 > "$build/build.log"

cache_value() { sed -n "s/^$1:[A-Z]*=//p" "$build/CMakeCache.txt"; }
compiler=$(cache_value CMAKE_CXX_COMPILER)
pkg_config=$(cache_value PKG_CONFIG_EXECUTABLE)

tools() {
  for name in CMAKE_COMMAND CMAKE_MAKE_PROGRAM CMAKE_CXX_COMPILER CMAKE_AR CMAKE_RANLIB CMAKE_LINKER \
    PKG_CONFIG_EXECUTABLE; do
    cache_value "$name"
  done
  for part in cc1plus as ld collect2; do "$compiler" -print-prog-name="$part"; done
  echo flatc
}

headers() { find "$build" -name '*.d' -exec cat {} + | tr -s ' \\' '\n\n' | sed -n 's/:$//; /^\//p'; }

cmake_files() { sed -n 's/^ *"\(\/.*\)"$/\1/p' "$build/CMakeFiles/Makefile.cmake"; }

# The .pc files of the modules that CMakeLists.txt requires, and of all modules that these require in turn.
pkg_config_files() {
  queue=$(sed -n '/^if(PLATFORM_ONLY)/q; s/^pkg_check_modules([^ ]* REQUIRED IMPORTED_TARGET \(.*\))/\1/p' \
    "$source/CMakeLists.txt")
  seen=" "
  while [ -n "$queue" ]; do
    next=""
    for module in $queue; do
      case "$seen" in *" $module "*) continue ;; esac
      seen="$seen$module "
      echo "$("$pkg_config" --variable=pcfiledir "$module")/$module.pc"
      next="$next $("$pkg_config" --print-requires --print-requires-private "$module" | awk '{print $1}')"
    done
    queue=$(echo $next)
  done
}

linked() { grep -hE '^/' "$build/build.log"; }

{ tools; headers; cmake_files; pkg_config_files; linked; } | sort -u | while read -r file; do
  case "$file" in /*) ;; *) file=$(command -v "$file" || echo "/not-found/$file") ;; esac
  readlink -f "$file" || echo "$file"
done | sort -u | grep -v -e "^$(readlink -f "$source")/" -e "^$(readlink -f "$build")/" > "$output"
echo "$(wc -l < "$output") files outside the project were used"
