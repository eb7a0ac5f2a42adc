# Plots the leader's load against the number of agents. Usage: gnuplot -e "results='FOLDER'" plot.gnuplot
set datafile separator ","
set terminal pngcairo size 900,420
set output results."/nodes.png"
set multiplot layout 1,2
set xlabel "agents"
set grid
set key off
set title "messages of the leader per second"
plot "< grep leader_messages ".results."/nodes.csv" using 1:3 with linespoints pointtype 7
set title "CPU time of the leader, % of a core"
plot "< grep leader_cpu ".results."/nodes.csv" using 1:3 with linespoints pointtype 7
unset multiplot
