# Settings that the scripts share. Source it from the root of the repository.
export CCACHE_DIR=${CCACHE_DIR:-$HOME/.cache/pistachiowalk-ccache}
export CCACHE_BASEDIR=$PWD
export CCACHE_NOHASHDIR=1
export CCACHE_MAXSIZE=4G
tidy_cache=${PISTACHIOWALK_TIDY_CACHE:-$HOME/.cache/pistachiowalk-tidy}
